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

// TestCodesAreDocumented checks that the table in docs/RESULT-CODES.md has exactly
// one row for each code, sorted by code.
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
		t.Errorf("the table in docs/RESULT-CODES.md must have exactly these rows:\n%s", strings.Join(want, "\n"))
	}
}

// TestCodesHaveUniqueNames checks that no two codes share a symbolic name.
func TestCodesHaveUniqueNames(t *testing.T) {
	names := make(map[string]Code)
	for _, c := range Codes() {
		if other, ok := names[c.String()]; ok {
			t.Errorf("codes %d and %d share the name %s", c, other, c)
		}
		names[c.String()] = c
	}
}

// TestFromErrorKeepsTheVerdict checks that a wrapped Error is returned as it is, and that
// the verdict on an error without a code is that the request may have run.
func TestFromErrorKeepsTheVerdict(t *testing.T) {
	rejected := New(RateExceeded, NotRun).WithRetryAfter(time.Second)
	if got := FromError(fmt.Errorf("wrapped: %w", rejected)); got != rejected {
		t.Errorf("FromError(wrapped) = %v", got)
	}
	if got := FromError(errors.New("unexpected")); got.Code != Internal || got.Verdict != MayHaveRun {
		t.Errorf("FromError(untyped error) = %v with verdict %v, want code internal and verdict may_have_run", got, got.Verdict)
	}
}
