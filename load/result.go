package load

import (
	"encoding/json"
	"time"
)

// Result reports one run as its callers saw it. Counts and latencies cover the measured
// period, unless a field says otherwise.
type Result struct {
	Scenario *Scenario `json:"scenario"`
	// At is the time at the end of the run, in UTC.
	At time.Time `json:"at"`
	// LoadAverage holds the load averages over 1, 5 and 15 minutes of the load
	// generator's computer, read at the end of the run, or "unknown".
	LoadAverage string `json:"load_average"`
	// Overall covers all workspaces together.
	Overall Summary `json:"overall"`
	// Workspaces has a summary for each workspace, in the order of the scenario.
	Workspaces []Summary `json:"workspaces"`
	// WorstServed names the workspace with the lowest answered share among those within
	// their rate; of equal ones the one with the highest first-token p99. It is empty if no
	// workspace stayed within its rate.
	WorstServed string `json:"worst"`
	// Batch reports the batch job; nil if there was none.
	Batch *BatchResult `json:"batch,omitempty"`
	// SendLag is the time from the intended to the actual sending of a request. Latencies
	// include it.
	SendLag Quantiles `json:"send_lag"`
	// Usage reports the resources of the fleet's processes, if the run started them.
	Usage []UsageSummary `json:"usage,omitempty"`
	// Notes lists the faults and operator actions of the run, their errors, and failed reads
	// of the batch job's progress. Times are those of the measured period.
	Notes []string `json:"notes,omitempty"`
}

// Summary reports the requests of one workspace, or of all, in the measured period.
type Summary struct {
	// Name is the name of the workspace, or "all".
	Name string `json:"name"`
	// Sent counts all requests, Answered those with a complete response, Errors those that
	// failed without a rejection, Incomplete those whose response broke off.
	Sent       int64 `json:"sent"`
	Answered   int64 `json:"answered"`
	Errors     int64 `json:"errors"`
	Incomplete int64 `json:"incomplete"`
	// Rejected counts the rejected requests by result code.
	Rejected map[int]int64 `json:"refused,omitempty"`
	// WithinRate counts the requests within the workspace's rate and burst.
	WithinRate int64 `json:"within"`
	// WrongfullyRejected counts the rejections that a single limiter for the whole fleet
	// would not have made; see Stats.WrongfullyRejected.
	WrongfullyRejected int64 `json:"wrongfully_refused"`
	// RateExcess is the largest number of requests by which any time window exceeded the
	// burst plus the rate times the window, warm-up included. Overall has the sum of the
	// workspaces.
	RateExcess int64 `json:"above_rate"`
	// AnsweredShare is the number of answered requests divided by those within the rate, at
	// most 1.
	AnsweredShare float64 `json:"answered_of_within"`
	// FirstToken and Total are latencies since the intended send time, InterEvent is the
	// time between two events of a stream.
	FirstToken Quantiles `json:"first_token"`
	InterEvent Quantiles `json:"between_tokens"`
	Total      Quantiles `json:"total"`
}

// summarize returns the summary of the counts under the given name.
func summarize(name string, s *Stats) Summary {
	return Summary{
		Name: name, Sent: s.Sent, Answered: s.Answered, Errors: s.Errors, Incomplete: s.Incomplete,
		Rejected: s.Rejected, WithinRate: s.WithinRate, WrongfullyRejected: s.WrongfullyRejected(),
		RateExcess: s.RateExcess, AnsweredShare: s.AnsweredShare(),
		FirstToken: quantiles(s.FirstToken), InterEvent: quantiles(s.InterEvent), Total: quantiles(s.Total),
	}
}

// newResult summarizes the counts of each workspace. Stats are in the order of the
// scenario's workspaces.
func newResult(s *Scenario, stats []*Stats, batch *BatchResult) *Result {
	r := &Result{Scenario: s, At: time.Now().UTC(), LoadAverage: loadAverage(), Batch: batch}
	all := NewStats()
	var wrongful, above int64
	for i, st := range stats {
		summary := summarize(s.Workspaces[i].Name, st)
		wrongful += summary.WrongfullyRejected
		above += summary.RateExcess
		r.Workspaces = append(r.Workspaces, summary)
		all.merge(st)
	}
	r.Overall = summarize("all", all)
	r.Overall.WrongfullyRejected, r.Overall.RateExcess = wrongful, above
	r.WorstServed = worstServed(r.Workspaces)
	return r
}

// worstServed returns the name of the workspace that was served worst, or "" if there is
// none. Workspaces that sent nothing or exceeded their rate are left out.
func worstServed(list []Summary) string {
	var found *Summary
	for i := range list {
		w := &list[i]
		if w.Sent == 0 || w.WithinRate < w.Sent {
			continue
		}
		if found == nil || isServedWorse(w, found) {
			found = w
		}
	}
	if found == nil {
		return ""
	}
	return found.Name
}

// isServedWorse reports whether a was served worse than b: it has a smaller answered share,
// or the same share and a higher p99 of the first token.
func isServedWorse(a, b *Summary) bool {
	if a.AnsweredShare != b.AnsweredShare {
		return a.AnsweredShare < b.AnsweredShare
	}
	return a.FirstToken.P99 > b.FirstToken.P99
}

// Workspace returns the summary of the named workspace, of all for "all", or nil if there
// is none of that name.
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

// JSON returns the results as indented JSON.
func JSON(results []*Result) ([]byte, error) { return json.MarshalIndent(results, "", "  ") }
