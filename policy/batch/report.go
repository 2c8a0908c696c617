package batch

import "time"

// Counts counts a job's items by their state.
type Counts struct {
	// Items is the number of all items.
	Items int
	// Completed is the number of items that succeeded.
	Completed int
	// Failed is the number of items that ended in an error line.
	Failed int
}

// Report describes the progress of a job.
type Report struct {
	// Done is the number of items with a result.
	Done int `json:"done"`
	// Failed is the number of those that ended in an error line.
	Failed int `json:"failed"`
	// Remaining is the number of items without a result.
	Remaining int `json:"left"`
	// Rate is the mean number of results per second since the job was accepted, or 0
	// before the first one.
	Rate float64 `json:"rate"`
	// ExpectedEnd is when the job is expected to be complete, or zero while unknown.
	ExpectedEnd time.Time `json:"end,omitzero"`
	// Lateness is how long after its due time the job is expected to be complete, or 0.
	// While End is unknown, it is the time since the due time, or 0.
	Lateness time.Duration `json:"late"`
}

// NewReport returns the progress of an active job at now. It estimates the end from
// the mean rate since the job was accepted.
func NewReport(c Counts, accepted, due, now time.Time) Report {
	r := Report{Done: c.Completed + c.Failed, Failed: c.Failed}
	r.Remaining = c.Items - r.Done
	elapsed := now.Sub(accepted)
	if r.Done == 0 || elapsed <= 0 {
		r.Lateness = max(now.Sub(due), 0)
		return r
	}
	r.Rate = float64(r.Done) / elapsed.Seconds()
	r.ExpectedEnd = now.Add(time.Duration(float64(r.Remaining) / r.Rate * float64(time.Second)))
	r.Lateness = max(r.ExpectedEnd.Sub(due), 0)
	return r
}
