package contact

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestConfigurationValidity compares decisions with testdata/until. Times are durations
// before now; a dash means never. The argument read is when this gateway last read the
// store. Each input line describes another gateway: when its last message arrived, when
// it last read the store, and "dead" if it has stopped.
func TestConfigurationValidity(t *testing.T) {
	datadriven.RunTest(t, "testdata/until", func(t *testing.T, d *datadriven.TestData) string {
		now := time.Unix(1000, 0)
		var own, bound string
		d.ScanArgs(t, "read", &own)
		d.ScanArgs(t, "bound", &bound)
		var others []Gateway
		for line := range strings.Lines(d.Input) {
			fields := strings.Fields(line)
			others = append(others, Gateway{
				LastHeardAt: before(t, now, fields[0]),
				StoreReadAt: before(t, now, fields[1]),
				Stopped:     len(fields) > 2 && fields[2] == "dead",
			})
		}
		limit, err := time.ParseDuration(bound)
		if err != nil {
			t.Fatal(err)
		}
		until := ValidUntil(now, before(t, now, own), others, limit)
		if !until.After(now) {
			return "refuse\n"
		}
		return fmt.Sprintf("serve for %s\n", until.Sub(now))
	})
}

func before(t *testing.T, now time.Time, text string) time.Time {
	t.Helper()
	if text == "-" {
		return time.Time{}
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return now.Add(-d)
}
