package load

import (
	"maps"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/devfleet"
)

// UsageSummary reports the resources that the processes of one program used in the measured
// period.
type UsageSummary struct {
	// Program is the name of the program; that of a stand-in includes its role.
	Program string `json:"program"`
	// Processes is the number of processes that ran at both ends of the measured period.
	Processes int `json:"processes"`
	// Cores is the mean CPU use of one process, in cores.
	Cores float64 `json:"cores"`
	// ResidentMiB is the largest resident memory of a process at the end of the measured
	// period, in MiB.
	ResidentMiB float64 `json:"resident_mb"`
	// BytesPerSecond is the mean rate at which one process read and wrote, on connections
	// and files.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

const bytesPerMiB = 1 << 20

// usageReader reads the resource usage of a fleet's processes.
type usageReader struct {
	usageByProcess   func() map[string]devfleet.Usage // usage since the start of the process
	programByProcess map[string]string
}

// summary returns the usage since the reading first, taken elapsed ago, by program.
// Processes that are missing from either reading are left out.
func (r *usageReader) summary(first map[string]devfleet.Usage, elapsed time.Duration) []UsageSummary {
	byProgram := make(map[string]*UsageSummary)
	for name, last := range r.usageByProcess() {
		start, ok := first[name]
		if !ok {
			continue
		}
		program := r.programByProcess[name]
		s := byProgram[program]
		if s == nil {
			s = &UsageSummary{Program: program}
			byProgram[program] = s
		}
		s.Processes++
		s.Cores += (last.CPUTime - start.CPUTime).Seconds() / elapsed.Seconds()
		s.BytesPerSecond += float64(last.TransferredBytes-start.TransferredBytes) / elapsed.Seconds()
		s.ResidentMiB = max(s.ResidentMiB, float64(last.ResidentBytes)/bytesPerMiB)
	}
	var list []UsageSummary
	for _, program := range slices.Sorted(maps.Keys(byProgram)) {
		s := byProgram[program]
		s.Cores /= float64(s.Processes)
		s.BytesPerSecond /= float64(s.Processes)
		list = append(list, *s)
	}
	return list
}
