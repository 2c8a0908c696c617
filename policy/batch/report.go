package batch

import "time"

// Counts is the state of a job's items.
type Counts struct {
	// Items is the number of items.
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
	// Left is the number of items without a result.
	Left int `json:"left"`
	// Rate is the number of results a second since the job was accepted.
	Rate float64 `json:"rate"`
	// End is when the job is expected to be complete, or zero while unknown.
	End time.Time `json:"end,omitzero"`
	// Late is how long after its due time the job is expected to be complete,
	// or zero.
	Late time.Duration `json:"late"`
}

// NewReport estimates the end of an active job from its mean rate since it was
// accepted.
func NewReport(c Counts, created, due, now time.Time) Report {
	r := Report{Done: c.Completed + c.Failed, Failed: c.Failed}
	r.Left = c.Items - r.Done
	elapsed := now.Sub(created)
	if r.Done == 0 || elapsed <= 0 {
		r.Late = max(now.Sub(due), 0)
		return r
	}
	r.Rate = float64(r.Done) / elapsed.Seconds()
	r.End = now.Add(time.Duration(float64(r.Left) / r.Rate * float64(time.Second)))
	r.Late = max(r.End.Sub(due), 0)
	return r
}
