package peer

// Evidence is the part of a LoadReport about prompt segments that may crash engines. A
// segment is given by its hash, a reporter by the name of its daemon, which is left out if it
// is the sender of the report. Ages are in ms, counted to when the report was sent.
type Evidence struct {
	Crashes   []Crash              `json:"crashes,omitempty"`
	Decisions []QuarantineDecision `json:"decisions,omitempty"`
	Clears    []SegmentAnswer      `json:"answers,omitempty"`
}

// Crash is the end of an engine's process while it held a request.
type Crash struct {
	Reporter string `json:"by,omitempty"`
	// Engine and StartedAtMs identify the start of the engine, DataCentre is where it ran.
	Engine      string `json:"engine"`
	StartedAtMs int64  `json:"started_at_ms"`
	DataCentre  string `json:"data_centre,omitempty"`
	// Request is the hash of the request's id.
	Request uint64 `json:"request"`
	// Segments are the suspected segments of the request.
	Segments []uint64 `json:"segments"`
	AgeMs    int64    `json:"age_ms"`
}

// QuarantineDecision says that a daemon holds a segment in quarantine.
type QuarantineDecision struct {
	Reporter string `json:"by,omitempty"`
	Segment  uint64 `json:"segment"`
	// AgeMs is the age of the last crash.
	AgeMs int64 `json:"age_ms"`
	// TrialInMs is the time until the next trial is due; it is negative afterwards.
	TrialInMs int64 `json:"trial_in_ms"`
	// Extensions is the number of trials that crashed an engine.
	Extensions int `json:"extensions,omitempty"`
}

// SegmentAnswer says that an engine answered a request with the segment.
type SegmentAnswer struct {
	Segment uint64 `json:"segment"`
	AgeMs   int64  `json:"age_ms"`
}

// IsEmpty reports whether there is no evidence.
func (e *Evidence) IsEmpty() bool { return len(e.Crashes)+len(e.Decisions)+len(e.Clears) == 0 }
