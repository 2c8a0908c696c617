package devfleet

import (
	"testing"
	"time"
)

// The fields are counted from the last closing parenthesis, as the command name may contain
// spaces and parentheses.
func TestParseStat(t *testing.T) {
	for _, name := range []string{"baobab-agent", "odd ) name"} {
		line := "42 (" + name + ") S 1 42 42 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 9 0 1000 2000000 300 18446744073709551615"
		got, err := parseStat([]byte(line))
		if err != nil || got.CPUTime != 3*time.Second || got.ResidentBytes < 300*4096 {
			t.Errorf("%s: got %+v, %v; want 3 s of processor time and 300 pages", name, got, err)
		}
	}
}
