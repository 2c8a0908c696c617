package peer

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestEvidenceAndEarlierBuilds guards against builds that do not understand each other's
// reports during an update.
func TestEvidenceAndEarlierBuilds(t *testing.T) {
	want := LoadReport{From: "vm/1", Sequence: 7, Engines: map[string]EngineCounts{}, Evidence: &Evidence{
		Crashes:   []Crash{{Engine: "i-1", StartedAtMs: 1764900000000, DataCentre: "dc", Request: 1<<64 - 1, Segments: []uint64{1<<64 - 1, 2}, AgeMs: 40}},
		Decisions: []QuarantineDecision{{Reporter: "vm-2", Segment: 1<<64 - 1, AgeMs: 50, TrialInMs: -7, Extensions: 2}},
		Clears:    []SegmentAnswer{{Segment: 9, AgeMs: 3}},
	}}
	data, err := EncodeLoadReport(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeLoadReport(data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, %v", got, err)
	}
	var earlier struct {
		Params struct {
			From    string                  `json:"from"`
			Engines map[string]EngineCounts `json:"engines"`
		} `json:"params"`
	}
	if err := json.Unmarshal(data, &earlier); err != nil || earlier.Params.From != "vm/1" {
		t.Errorf("an earlier build decodes %+v, %v", earlier, err)
	}
	if got, err := DecodeLoadReport([]byte(`{"method":"loads","params":{"from":"vm/1","engines":{}}}`)); err != nil || got.Evidence != nil {
		t.Errorf("report of an earlier build was decoded as %+v, %v", got, err)
	}
}
