package devfleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is the resources that a process has used since its start.
type Usage struct {
	// CPUTime is the processor time in user and system mode.
	CPUTime time.Duration
	// ResidentBytes is the current resident memory in bytes.
	ResidentBytes int64
	// TransferredBytes is the number of bytes that the process read and wrote, through
	// connections and files.
	TransferredBytes int64
}

// Fields of /proc/<pid>/stat, counted from 0 at the field after the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
)

// clockTick is the unit of processor times in /proc/<pid>/stat.
const clockTick = 10 * time.Millisecond

// Usage reads the resource usage of the process from /proc. It fails if the process has
// exited.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, fmt.Errorf("read resource usage of %s: %w", p.Name, err)
	}
	u, err := parseStat(data)
	if err != nil {
		return u, err
	}
	data, err = os.ReadFile(fmt.Sprintf("/proc/%d/io", p.PID()))
	if err != nil {
		return u, fmt.Errorf("read resource usage of %s: %w", p.Name, err)
	}
	u.TransferredBytes, err = parseIO(data)
	return u, err
}

// parseIO returns the bytes read and written, in sum, from the content of /proc/<pid>/io.
func parseIO(data []byte) (int64, error) {
	var read, written int64
	_, err := fmt.Sscanf(string(data), "rchar: %d\nwchar: %d\n", &read, &written)
	if err != nil {
		return 0, fmt.Errorf("malformed /proc/<pid>/io: %w", err)
	}
	return read + written, nil
}

// parseStat returns processor time and memory from the content of /proc/<pid>/stat. The
// command name is in parentheses and may itself contain spaces and parentheses.
func parseStat(data []byte) (Usage, error) {
	end := bytes.LastIndexByte(data, ')')
	fields := strings.Fields(string(data[end+1:]))
	if end < 0 || len(fields) <= statResident {
		return Usage{}, fmt.Errorf("malformed /proc/<pid>/stat")
	}
	var values [3]int64
	for i, field := range []int{statUserTime, statSystemTime, statResident} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return Usage{}, fmt.Errorf("malformed /proc/<pid>/stat: %w", err)
		}
		values[i] = n
	}
	return Usage{
		CPUTime:       time.Duration(values[0]+values[1]) * clockTick,
		ResidentBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}

// UsageByProcess returns the resource usage of every running process by process name. It
// leaves out processes whose usage cannot be read.
func (f *Fleet) UsageByProcess() map[string]Usage {
	all := make(map[string]Usage, len(f.processes))
	for _, p := range f.processes {
		if u, err := p.Usage(); err == nil {
			all[p.Name] = u
		}
	}
	return all
}

// Program returns the file name of the program.
func (p *Process) Program() string { return filepath.Base(p.Args[0]) }

// ProgramByProcess returns the program of every process by process name. For a stand-in,
// the subcommand follows, as in "baobab-standin engine".
func (f *Fleet) ProgramByProcess() map[string]string {
	all := make(map[string]string, len(f.processes))
	for _, p := range f.processes {
		all[p.Name] = p.Program()
		if p.Program() == "baobab-standin" {
			all[p.Name] += " " + p.Args[1]
		}
	}
	return all
}

// Peaks are the largest values that were seen of a process.
type Peaks struct {
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes int64
	// Descriptors is the number of open files.
	Descriptors int
}

// watchInterval is the time between two readings of Watch.
const watchInterval = 20 * time.Millisecond

// Watch reads the memory and the descriptors of the process until stop is closed, and returns
// the peaks. It fails if the process has exited by then.
func (p *Process) Watch(stop <-chan struct{}) (Peaks, error) {
	var peaks Peaks
	for {
		usage, err := p.Usage()
		files, filesErr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
		peaks.ResidentBytes = max(peaks.ResidentBytes, usage.ResidentBytes)
		peaks.Descriptors = max(peaks.Descriptors, len(files))
		if err := errors.Join(err, filesErr); err != nil {
			return peaks, err
		}
		select {
		case <-stop:
			if p.hasExited() {
				return peaks, fmt.Errorf("%s has exited", p.Name)
			}
			return peaks, nil
		case <-time.After(watchInterval):
		}
	}
}
