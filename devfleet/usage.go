package devfleet

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used so far.
type Usage struct {
	// CPU is the processor time.
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
	// Transferred is the number of bytes that the process read and wrote, on
	// connections and files.
	Transferred int64
}

// Fields of /proc/<pid>/stat after the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
)

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// Usage reads what the process has used so far.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, fmt.Errorf("usage of %s: %w", p.Name, err)
	}
	u, err := parseStat(data)
	if err != nil {
		return u, err
	}
	data, err = os.ReadFile(fmt.Sprintf("/proc/%d/io", p.PID()))
	if err != nil {
		return u, fmt.Errorf("usage of %s: %w", p.Name, err)
	}
	u.Transferred, err = parseIO(data)
	return u, err
}

// parseIO reads the content of /proc/<pid>/io.
func parseIO(data []byte) (int64, error) {
	var read, written int64
	_, err := fmt.Sscanf(string(data), "rchar: %d\nwchar: %d\n", &read, &written)
	if err != nil {
		return 0, fmt.Errorf("process status is malformed: %w", err)
	}
	return read + written, nil
}

// parseStat reads the content of /proc/<pid>/stat. The command's name is in
// parentheses and may contain spaces and parentheses itself.
func parseStat(data []byte) (Usage, error) {
	end := bytes.LastIndexByte(data, ')')
	fields := strings.Fields(string(data[end+1:]))
	if end < 0 || len(fields) <= statResident {
		return Usage{}, fmt.Errorf("process status is malformed")
	}
	var values [3]int64
	for i, field := range []int{statUserTime, statSystemTime, statResident} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return Usage{}, fmt.Errorf("process status is malformed: %w", err)
		}
		values[i] = n
	}
	return Usage{
		CPU:      time.Duration(values[0]+values[1]) * clockTick,
		Resident: values[2] * int64(os.Getpagesize()),
	}, nil
}

// Usages reads the usage of every running process, by name.
func (f *Fleet) Usages() map[string]Usage {
	all := make(map[string]Usage, len(f.processes))
	for _, p := range f.processes {
		if u, err := p.Usage(); err == nil {
			all[p.Name] = u
		}
	}
	return all
}

// Program returns the name of the program that the process runs.
func (p *Process) Program() string { return filepath.Base(p.Args[0]) }

// Programs maps the name of each process to its program and, for a stand-in,
// to what it stands for.
func (f *Fleet) Programs() map[string]string {
	all := make(map[string]string, len(f.processes))
	for _, p := range f.processes {
		all[p.Name] = p.Program()
		if p.Program() == "baobab-standin" {
			all[p.Name] += " " + p.Args[1]
		}
	}
	return all
}
