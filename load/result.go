package load

import (
	"encoding/json"
	"time"
)

// Result is what callers saw of a run.
type Result struct {
	// Scenario is what was run.
	Scenario *Scenario `json:"scenario"`
	// At is when the run ended.
	At time.Time `json:"at"`
	// LoadAverage is the machine's load average over a minute after the run.
	LoadAverage string `json:"load_average"`
	// Overall counts every workspace.
	Overall Summary `json:"overall"`
	// Workspaces counts each workspace.
	Workspaces []Summary `json:"workspaces"`
	// Worst names the workspace that was served worst among those within their
	// rate: the one with the lowest share of answers, then the slowest.
	Worst string `json:"worst"`
	// Batch counts the items of the batch job, if there was one.
	Batch *BatchResult `json:"batch,omitempty"`
	// SendLag is how late requests were sent. Latencies contain it.
	SendLag Quantiles `json:"send_lag"`
	// Usage is what the processes used, if the run started them.
	Usage []UsageSummary `json:"usage,omitempty"`
	// Notes says what happened beside the requests.
	Notes []string `json:"notes,omitempty"`
}

// Summary counts the requests of one workspace, or of all.
type Summary struct {
	// Name is the workspace, or "all".
	Name string `json:"name"`
	// Sent, Answered, Errors and Incomplete count requests.
	Sent       int64 `json:"sent"`
	Answered   int64 `json:"answered"`
	Errors     int64 `json:"errors"`
	Incomplete int64 `json:"incomplete"`
	// Refused counts refusals by result code.
	Refused map[int]int64 `json:"refused,omitempty"`
	// Within counts the requests within the rate.
	Within int64 `json:"within"`
	// WrongfullyRefused counts refusals within the rate.
	WrongfullyRefused int64 `json:"wrongfully_refused"`
	// AboveRate is by how many requests a window of send times held more than
	// the burst and what the rate earns, at worst, warm-up included.
	AboveRate int64 `json:"above_rate"`
	// AnsweredOfWithin is the share of the requests within the rate that were
	// answered.
	AnsweredOfWithin float64 `json:"answered_of_within"`
	// FirstToken, BetweenTokens and Total are latencies.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	Total         Quantiles `json:"total"`
}

func summarize(name string, s *Stats) Summary {
	return Summary{
		Name: name, Sent: s.Sent, Answered: s.Answered, Errors: s.Errors, Incomplete: s.Incomplete,
		Refused: s.Refused, Within: s.Within, WrongfullyRefused: s.WrongfullyRefused(),
		AboveRate: s.AboveRate, AnsweredOfWithin: s.AnsweredOfWithin(),
		FirstToken: quantiles(s.FirstToken), BetweenTokens: quantiles(s.BetweenTokens), Total: quantiles(s.Total),
	}
}

func newResult(s *Scenario, stats []*Stats, batch *BatchResult) *Result {
	r := &Result{Scenario: s, At: time.Now().UTC(), LoadAverage: loadAverage(), Batch: batch}
	all := NewStats()
	var wrongful, above int64
	for i, st := range stats {
		summary := summarize(s.Workspaces[i].Name, st)
		wrongful += summary.WrongfullyRefused
		above += summary.AboveRate
		r.Workspaces = append(r.Workspaces, summary)
		all.merge(st)
	}
	r.Overall = summarize("all", all)
	r.Overall.WrongfullyRefused, r.Overall.AboveRate = wrongful, above
	r.Worst = worst(r.Workspaces)
	return r
}

// worst names the workspace that was served worst. Workspaces above their rate
// are left out.
func worst(list []Summary) string {
	var found *Summary
	for i := range list {
		w := &list[i]
		if w.Sent == 0 || w.Within < w.Sent {
			continue
		}
		if found == nil || servedWorse(w, found) {
			found = w
		}
	}
	if found == nil {
		return ""
	}
	return found.Name
}

func servedWorse(a, b *Summary) bool {
	if a.AnsweredOfWithin != b.AnsweredOfWithin {
		return a.AnsweredOfWithin < b.AnsweredOfWithin
	}
	return a.FirstToken.P99 > b.FirstToken.P99
}

// Workspace returns the counts of the named workspace, or of all for "all".
func (r *Result) Workspace(name string) *Summary {
	if name == r.Overall.Name {
		return &r.Overall
	}
	for i := range r.Workspaces {
		if r.Workspaces[i].Name == name {
			return &r.Workspaces[i]
		}
	}
	return nil
}

// JSON returns the results as JSON text.
func JSON(results []*Result) ([]byte, error) { return json.MarshalIndent(results, "", "  ") }
