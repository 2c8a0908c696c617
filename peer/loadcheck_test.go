package peer

import (
	"fmt"
	"strings"
	"testing"
)

// TestOddLoadReportsAreRejected guards against datagrams that end a daemon, or that make it
// count with numbers that no daemon has.
func TestOddLoadReportsAreRejected(t *testing.T) {
	odd := []string{"", "\x00", "null", "[]", strings.Repeat("[", 60_000), `{"params":` + strings.Repeat(`{"engines":`, 5_000)}
	for _, number := range []string{"-1", "4000000000000000000", "1e400", "NaN", "1.5", `"1"`} {
		for _, field := range []string{`"seq":%s`, `"waiting":%s`, `"reading_age_ms":%s`, `"engines":{"i-1":[0,%s]}`, `"admitted":{"w":%s}`} {
			odd = append(odd, fmt.Sprintf(`{"method":"loads","params":{"from":"vm/1",`+field+`}}`, number))
		}
		for _, field := range []string{"daemons", "waiting"} {
			odd = append(odd, fmt.Sprintf(`{"method":"data_centre_loads","params":{"from":"vm/1","data_centre":{"name":"dc-1","%s":%s}}}`, field, number))
		}
	}
	for _, data := range odd {
		if r, err := DecodeLoadReport([]byte(data)); err == nil {
			t.Errorf("%.120q was decoded as %+v", data, r)
		}
	}
}
