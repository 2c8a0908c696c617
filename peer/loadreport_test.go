package peer

import (
	"reflect"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

func TestLoadReportIsANotification(t *testing.T) {
	want := LoadReport{
		From: "vm/1", Sequence: 7, WaitingItems: 2, ReadAgeMs: 40,
		Engines: map[string]EngineCounts{"i-1": {1, 2, 3, 1}}, Admitted: map[string]int64{"w": 5},
	}
	data, err := EncodeLoadReport(want)
	if err != nil {
		t.Fatal(err)
	}
	var req jsonrpc2.Request
	if err := req.UnmarshalJSON(data); err != nil || req.Method != methodLoads || !req.Notif {
		t.Errorf("not a notification: %+v %v", req, err)
	}
	if got, err := DecodeLoadReport(data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, %v", got, err)
	}
	for _, bad := range []string{"", "{}", `{"method":"other","params":{}}`, `{"method":"loads","params":[]}`,
		`{"method":"loads","params":{"data_centre":{}}}`, `{"method":"data_centre_loads","params":{}}`} {
		if _, err := DecodeLoadReport([]byte(bad)); err == nil {
			t.Errorf("%q was decoded as a load report", bad)
		}
	}
}

func TestDataCentreSumIsEncoded(t *testing.T) {
	want := LoadReport{
		From: "vm/1", Sequence: 7, ReadAgeMs: 40, Engines: map[string]EngineCounts{"i-1": {9, 2, 3, 2}},
		DataCentre: &DataCentreSum{Name: "dc-1", Daemons: 3, WaitingDaemons: 1, Forwarded: true},
	}
	data, err := EncodeLoadReport(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeLoadReport(data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, %v", got, err)
	}
}

// TestEngineCountsOfOtherBuildsAreUnderstood guards against builds that do not understand
// each other's reports while a fleet is updated.
func TestEngineCountsOfOtherBuildsAreUnderstood(t *testing.T) {
	r, err := DecodeLoadReport([]byte(`{"jsonrpc":"2.0","method":"loads","params":{"from":"a","engines":{"i-1":[1,2,3,1],"i-2":[1,2,3,1,1,7]}}}`))
	want := map[string]EngineCounts{"i-1": {1, 2, 3, 1, 0}, "i-2": {1, 2, 3, 1, 1}}
	if err != nil || !reflect.DeepEqual(r.Engines, want) {
		t.Errorf("decoded %v, %v", r.Engines, err)
	}
}
