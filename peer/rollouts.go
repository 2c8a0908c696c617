package peer

// RolloutCounts is the part of a LoadReport about one roll-out.
type RolloutCounts struct {
	// Order is the version of the order's row.
	Order int64 `json:"order"`
	// Stage is the lowest stage that a daemon uses, and AtStage the number of daemons that use
	// it.
	Stage   int `json:"stage"`
	AtStage int `json:"at_stage"`
	// Daemons is the number of daemons that count, DaemonsWithAnswers of those that saw an
	// answer of a new engine and DaemonsWithBad of those that saw a bad one.
	Daemons            int `json:"daemons"`
	DaemonsWithAnswers int `json:"with_answers"`
	DaemonsWithBad     int `json:"with_bad"`
	// Routes holds the figures of the old and the new version by route: requests sent,
	// answers, bad answers, answers whose time to the first event is in the sum that follows,
	// that sum in ms, and the same two for the mean interval between events.
	Routes map[string][2][7]int64 `json:"routes,omitempty"`
	// Engines holds the numbers of answers and of bad answers of new engines by id.
	Engines map[string][2]int64 `json:"engines,omitempty"`
}
