package load

import (
	"maps"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/devfleet"
)

// UsageSummary is what the processes of one program used in the counted part.
type UsageSummary struct {
	// Program is the program, with what a stand-in stands for.
	Program string `json:"program"`
	// Processes is the number of processes.
	Processes int `json:"processes"`
	// Cores is the mean number of cores that one process used.
	Cores float64 `json:"cores"`
	// ResidentMB is the largest resident memory of one process at the end.
	ResidentMB float64 `json:"resident_mb"`
	// BytesPerSecond is the mean number of bytes that one process read and wrote.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

const bytesPerMB = 1 << 20

// usageProbe reads the usage of a target's processes.
type usageProbe struct {
	usages   func() map[string]devfleet.Usage
	programs map[string]string
}

// summary compares the usage at the start of the counted part with now.
func (p *usageProbe) summary(first map[string]devfleet.Usage, elapsed time.Duration) []UsageSummary {
	byProgram := make(map[string]*UsageSummary)
	for name, last := range p.usages() {
		start, ok := first[name]
		if !ok {
			continue
		}
		program := p.programs[name]
		s := byProgram[program]
		if s == nil {
			s = &UsageSummary{Program: program}
			byProgram[program] = s
		}
		s.Processes++
		s.Cores += (last.CPU - start.CPU).Seconds() / elapsed.Seconds()
		s.BytesPerSecond += float64(last.Transferred-start.Transferred) / elapsed.Seconds()
		s.ResidentMB = max(s.ResidentMB, float64(last.Resident)/bytesPerMB)
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
