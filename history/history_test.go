package history_test

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/history"
)

// at returns a moment of a test history.
func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// expect checks that a checker accepts a history, or refuses it.
func expect(t *testing.T, accepted bool, err error) {
	t.Helper()
	if accepted && err != nil {
		t.Errorf("a correct history was refused: %v", err)
	}
	if !accepted && err == nil {
		t.Error("a faulty history was accepted")
	}
}

func TestAtMostOnce(t *testing.T) {
	calls := []history.Call{{Token: "a", Once: true}, {Token: "b"}}
	expect(t, true, history.CheckAtMostOnce(calls, []history.Arrival{{Token: "a"}, {Token: "b"}, {Token: "b"}}))
	expect(t, false, history.CheckAtMostOnce(calls, []history.Arrival{{Token: "a"}, {Token: "a"}}))
}

func TestNotRunIsTrue(t *testing.T) {
	calls := []history.Call{{Token: "a", Outcome: history.NotRun}, {Token: "b", Outcome: history.Failed}}
	expect(t, true, history.CheckNotRun(calls, []history.Arrival{{Token: "b"}}))
	expect(t, false, history.CheckNotRun(calls, []history.Arrival{{Token: "a"}}))
}

func TestAnswersRan(t *testing.T) {
	calls := []history.Call{{Token: "a", Outcome: history.Answered}}
	expect(t, true, history.CheckAnswersRan(calls, []history.Arrival{{Token: "a"}}))
	expect(t, false, history.CheckAnswersRan(calls, nil))
}

func TestOwnAnswers(t *testing.T) {
	echo := func(c history.Call) string { return "echo " + c.Token }
	expect(t, true, history.CheckOwnAnswers([]history.Call{
		{Token: "a", Outcome: history.Answered, Answer: "echo a"},
		{Token: "b", Outcome: history.Failed, Answer: "echo"},
	}, echo))
	expect(t, false, history.CheckOwnAnswers([]history.Call{{Token: "a", Outcome: history.Answered, Answer: "echo b"}}, echo))
	expect(t, false, history.CheckOwnAnswers([]history.Call{{Token: "a", Outcome: history.Answered, Answer: "echo "}}, echo))
}

func TestNoKeyAtUpstream(t *testing.T) {
	keys := []string{"secret"}
	expect(t, true, history.CheckNoKey([]history.Arrival{{Token: "text"}}, keys))
	expect(t, false, history.CheckNoKey([]history.Arrival{{Key: true}}, keys))
	expect(t, false, history.CheckNoKey([]history.Arrival{{Token: "a secret text"}}, keys))
}

func TestNoWorkAfterEvent(t *testing.T) {
	arrivals := []history.Arrival{{Upstream: "leaving", At: at(900)}, {Upstream: "other", At: at(5000)}}
	leaving := func(a history.Arrival) bool { return a.Upstream == "leaving" }
	expect(t, true, history.CheckNoWorkAfter(arrivals, at(0), time.Second, leaving))
	expect(t, false, history.CheckNoWorkAfter(arrivals, at(0), 800*time.Millisecond, leaving))
}

func TestNotCut(t *testing.T) {
	arrivals := []history.Arrival{{Token: "a"}}
	expect(t, true, history.CheckNotCut([]history.Call{{Token: "a", Outcome: history.Answered}, {Token: "b"}}, arrivals))
	expect(t, false, history.CheckNotCut([]history.Call{{Token: "a", Outcome: history.Failed}}, arrivals))
}

func TestRefused(t *testing.T) {
	all := func(history.Call) bool { return true }
	expect(t, true, history.CheckRefused([]history.Call{{Outcome: history.NotRun}}, all))
	expect(t, false, history.CheckRefused([]history.Call{{Outcome: history.Answered}}, all))
}

func TestOneResult(t *testing.T) {
	items := []string{"a", "b"}
	expect(t, true, history.CheckOneResult(items, []string{"b", "a"}))
	expect(t, false, history.CheckOneResult(items, []string{"a"}))
	expect(t, false, history.CheckOneResult(items, []string{"a", "b", "a"}))
	expect(t, false, history.CheckOneResult(items, []string{"a", "b", "c"}))
}

func TestRate(t *testing.T) {
	instant := func(ms ...int) []history.Interval {
		var list []history.Interval
		for _, m := range ms {
			list = append(list, history.Interval{From: at(m), To: at(m)})
		}
		return list
	}
	// A burst of 2 and 10 a second.
	expect(t, true, history.CheckRate(instant(0, 0, 100, 200, 300), 10, 2))
	expect(t, false, history.CheckRate(instant(0, 0, 0), 10, 2))
	expect(t, false, history.CheckRate(instant(0, 500, 500, 500, 1000), 10, 2))
	expect(t, false, history.CheckRate(instant(0, 100, 110, 120, 130), 10, 2))
	// Three requests whose moments are only known to lie within a second.
	wide := history.Interval{From: at(0), To: at(1000)}
	expect(t, true, history.CheckRate([]history.Interval{wide, wide, wide}, 10, 2))
}

func TestAdmittedCountsRequestsThatRan(t *testing.T) {
	calls := []history.Call{
		{Token: "answered", Workspace: "w", Outcome: history.Answered},
		{Token: "ran", Workspace: "w", Outcome: history.Unknown},
		{Token: "lost", Workspace: "w", Outcome: history.Unknown},
		{Token: "other", Workspace: "v", Outcome: history.Answered},
	}
	if n := len(history.Admitted(calls, []history.Arrival{{Token: "ran"}}, "w")); n != 2 {
		t.Errorf("%d calls were admitted, not 2", n)
	}
}

func TestRecorderCounts(t *testing.T) {
	var r history.Recorder
	r.Add(history.Call{Outcome: history.Answered})
	r.Add(history.Call{Outcome: history.NotRun})
	if got, want := r.Summary(), "1 answered, 1 not run, 0 failed, 0 unknown"; got != want {
		t.Errorf("summary is %q, not %q", got, want)
	}
}
