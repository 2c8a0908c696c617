package history_test

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/history"
)

// at returns the time ms milliseconds after the start of a test history.
func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// checkVerdict checks err, the result of a check: it must be nil if the history is to
// be accepted, and an error otherwise.
func checkVerdict(t *testing.T, accepted bool, err error) {
	t.Helper()
	if accepted && err != nil {
		t.Errorf("correct history was rejected: %v", err)
	}
	if !accepted && err == nil {
		t.Error("faulty history was accepted")
	}
}

// TestCheckAtMostOnce guards against a check that misses a non-idempotent call that ran
// twice, or rejects an idempotent one that did.
func TestCheckAtMostOnce(t *testing.T) {
	calls := []history.Call{{Token: "a", NonIdempotent: true}, {Token: "b"}}
	checkVerdict(t, true, history.CheckAtMostOnce(calls, []history.Arrival{{Token: "a"}, {Token: "b"}, {Token: "b"}}))
	checkVerdict(t, false, history.CheckAtMostOnce(calls, []history.Arrival{{Token: "a"}, {Token: "a"}}))
}

// TestCheckNotRun guards against a check that misses a call that ran but was reported as
// not run, or rejects one that failed with an unknown result.
func TestCheckNotRun(t *testing.T) {
	calls := []history.Call{{Token: "a", Outcome: history.NotRun}, {Token: "b", Outcome: history.Failed}}
	checkVerdict(t, true, history.CheckNotRun(calls, []history.Arrival{{Token: "b"}}))
	checkVerdict(t, false, history.CheckNotRun(calls, []history.Arrival{{Token: "a"}}))
}

// TestCheckAnsweredRan guards against a check that misses an answer without an arrival.
func TestCheckAnsweredRan(t *testing.T) {
	calls := []history.Call{{Token: "a", Outcome: history.Answered}}
	checkVerdict(t, true, history.CheckAnsweredRan(calls, []history.Arrival{{Token: "a"}}))
	checkVerdict(t, false, history.CheckAnsweredRan(calls, nil))
}

// TestCheckAnswersMatch guards against a check that misses an answer to another call or a
// truncated answer, or compares the content of a call that failed.
func TestCheckAnswersMatch(t *testing.T) {
	echo := func(c history.Call) string { return "echo " + c.Token }
	checkVerdict(t, true, history.CheckAnswersMatch([]history.Call{
		{Token: "a", Outcome: history.Answered, Answer: "echo a"},
		{Token: "b", Outcome: history.Failed, Answer: "echo"},
	}, echo))
	checkVerdict(t, false, history.CheckAnswersMatch([]history.Call{{Token: "a", Outcome: history.Answered, Answer: "echo b"}}, echo))
	checkVerdict(t, false, history.CheckAnswersMatch([]history.Call{{Token: "a", Outcome: history.Answered, Answer: "echo "}}, echo))
}

// TestCheckNoCredential guards against a check that misses a credential in a header or a
// key within other content.
func TestCheckNoCredential(t *testing.T) {
	keys := []string{"secret"}
	checkVerdict(t, true, history.CheckNoCredential([]history.Arrival{{Token: "text"}}, keys))
	checkVerdict(t, false, history.CheckNoCredential([]history.Arrival{{HasCredential: true}}, keys))
	checkVerdict(t, false, history.CheckNoCredential([]history.Arrival{{Token: "a secret text"}}, keys))
}

// TestCheckNoWorkAfter guards against a check that misses an arrival after the bound, or
// counts arrivals at other upstreams.
func TestCheckNoWorkAfter(t *testing.T) {
	arrivals := []history.Arrival{{Upstream: "leaving", At: at(900)}, {Upstream: "other", At: at(5000)}}
	leaving := func(a history.Arrival) bool { return a.Upstream == "leaving" }
	checkVerdict(t, true, history.CheckNoWorkAfter(arrivals, at(0), time.Second, leaving))
	checkVerdict(t, false, history.CheckNoWorkAfter(arrivals, at(0), 800*time.Millisecond, leaving))
}

// TestCheckNotInterrupted guards against a check that misses a call that reached an
// upstream and failed, or rejects one that reached none.
func TestCheckNotInterrupted(t *testing.T) {
	arrivals := []history.Arrival{{Token: "a"}}
	checkVerdict(t, true, history.CheckNotInterrupted([]history.Call{{Token: "a", Outcome: history.Answered}, {Token: "b"}}, arrivals))
	checkVerdict(t, false, history.CheckNotInterrupted([]history.Call{{Token: "a", Outcome: history.Failed}}, arrivals))
}

// TestCheckRejected guards against a check that misses an answered call.
func TestCheckRejected(t *testing.T) {
	all := func(history.Call) bool { return true }
	checkVerdict(t, true, history.CheckRejected([]history.Call{{Outcome: history.NotRun}}, all))
	checkVerdict(t, false, history.CheckRejected([]history.Call{{Outcome: history.Answered}}, all))
}

// TestCheckOneResult guards against a check that misses an item with no result or two, or a
// result without an item.
func TestCheckOneResult(t *testing.T) {
	items := []string{"a", "b"}
	checkVerdict(t, true, history.CheckOneResult(items, []string{"b", "a"}))
	checkVerdict(t, false, history.CheckOneResult(items, []string{"a"}))
	checkVerdict(t, false, history.CheckOneResult(items, []string{"a", "b", "a"}))
	checkVerdict(t, false, history.CheckOneResult(items, []string{"a", "b", "c"}))
}

// TestCheckRate guards against a check that misses an excess in a window that starts
// later than the history, or rejects requests whose times of admission are uncertain.
func TestCheckRate(t *testing.T) {
	instant := func(ms ...int) []history.Interval {
		var list []history.Interval
		for _, m := range ms {
			list = append(list, history.Interval{From: at(m), To: at(m)})
		}
		return list
	}
	// The limit is 10 requests per second with a burst of 2.
	checkVerdict(t, true, history.CheckRate(instant(0, 0, 100, 200, 300), 10, 2))
	checkVerdict(t, false, history.CheckRate(instant(0, 0, 0), 10, 2))
	checkVerdict(t, false, history.CheckRate(instant(0, 500, 500, 500, 1000), 10, 2))
	checkVerdict(t, false, history.CheckRate(instant(0, 100, 110, 120, 130), 10, 2))
	// Three requests that were admitted at unknown times within one second do not
	// certainly exceed the limit.
	wide := history.Interval{From: at(0), To: at(1000)}
	checkVerdict(t, true, history.CheckRate([]history.Interval{wide, wide, wide}, 10, 2))
}

// TestAdmittedCountsRequestsThatRan guards against admitted requests that are not counted
// because their answers were lost, and against counting requests that never arrived or
// belong to another workspace.
func TestAdmittedCountsRequestsThatRan(t *testing.T) {
	calls := []history.Call{
		{Token: "answered", Workspace: "w", Outcome: history.Answered},
		{Token: "ran", Workspace: "w", Outcome: history.Unknown},
		{Token: "lost", Workspace: "w", Outcome: history.Unknown},
		{Token: "other", Workspace: "v", Outcome: history.Answered},
	}
	if n := len(history.Admitted(calls, []history.Arrival{{Token: "ran"}}, "w")); n != 2 {
		t.Errorf("%d calls were admitted, want 2", n)
	}
}

func TestRecorderCounts(t *testing.T) {
	var r history.Recorder
	r.Add(history.Call{Outcome: history.Answered})
	r.Add(history.Call{Outcome: history.NotRun})
	if got, want := r.Summary(), "1 answered, 1 not run, 0 failed, 0 unknown"; got != want {
		t.Errorf("summary is %q, want %q", got, want)
	}
}
