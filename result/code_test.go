package result

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestCodesAreDocumented checks that the table of docs/RESULT-CODES.md has
// exactly the rows of the codes.
func TestCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	var want, got []string
	codes := Codes()
	slices.Sort(codes)
	for _, c := range codes {
		info := c.Info()
		want = append(want, fmt.Sprintf("| %d | `%s` | %d | %s |", int(c), info.Name, info.Status, info.Message))
	}
	for line := range strings.Lines(string(page)) {
		if line = strings.TrimSpace(line); len(line) > 2 && line[2] >= '1' && line[2] <= '9' {
			got = append(got, line)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("docs/RESULT-CODES.md must hold these rows:\n%s", strings.Join(want, "\n"))
	}
}

func TestCodesHaveUniqueNames(t *testing.T) {
	names := make(map[string]Code)
	for _, c := range Codes() {
		if other, ok := names[c.String()]; ok {
			t.Errorf("codes %d and %d share the name %s", c, other, c)
		}
		names[c.String()] = c
	}
}

func TestFromKeepsTheVerdict(t *testing.T) {
	refused := New(RateExceeded, NotRun).After(time.Second)
	if got := From(fmt.Errorf("wrapped: %w", refused)); got != refused {
		t.Errorf("From(wrapped) = %v", got)
	}
	if got := From(errors.New("unexpected")); got.Code != Internal || got.Verdict != MayHaveRun {
		t.Errorf("an untyped error must leave the outcome open, got %v, %v", got, got.Verdict)
	}
}
