package load

import (
	"os"
	"strings"
)

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes, separated by
// spaces, or "unknown" if /proc/loadavg cannot be read.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
