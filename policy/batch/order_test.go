package batch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// simJob is a job of the simulation, in which the fleet finishes one chunk per
// simStep.
type simJob struct {
	workspace string
	arrives   time.Duration
	due       time.Duration // after the arrival
	chunks    int
	next      int
	ended     time.Duration
}

const (
	simStep   = time.Second // time in which the fleet finishes one chunk
	simItems  = 400         // items per chunk
	simStart  = 1_800_000_000
	smallRate = 40.0  // items per second that a small workspace pays for
	largeRate = 200.0 // items per second that a large workspace pays for
)

func at(d time.Duration) time.Time { return time.Unix(simStart, 0).Add(d) }

// simJobs returns two large jobs of one workspace and many small jobs of other
// workspaces, a few of them due soon. With longChunks above 0, a small workspace also
// has a long job.
func simJobs(largeDue time.Duration, longChunks int) []*simJob {
	jobs := []*simJob{
		{workspace: "large", arrives: 0, due: largeDue, chunks: 148},
		{workspace: "large", arrives: time.Second, due: largeDue, chunks: 148},
	}
	if longChunks > 0 {
		jobs = append(jobs, &simJob{workspace: "small-0", due: time.Hour, chunks: longChunks})
	}
	for i := range 60 {
		due := 10 * time.Minute
		if i%6 == 0 {
			due = 90 * time.Second
		}
		jobs = append(jobs, &simJob{
			workspace: fmt.Sprint("small-", i%12),
			arrives:   time.Duration(i) * 8 * time.Second,
			due:       due, chunks: 2 + i%3,
		})
	}
	return jobs
}

// policy returns the index of the job whose chunk is next.
type policy func(open []*simJob) int

func smallest(open []*simJob, key func(*simJob) time.Duration) int {
	best := slices.MinFunc(open, func(a, b *simJob) int { return cmp.Compare(key(a), key(b)) })
	return slices.Index(open, best)
}

func dueTime(j *simJob) time.Duration { return j.arrives + j.due }

func firstCome(open []*simJob) int {
	return smallest(open, func(j *simJob) time.Duration { return j.arrives })
}

func earliestDue(open []*simJob) int { return smallest(open, dueTime) }

// fairQueue is the order that package batch implements.
type fairQueue struct{ last, queued map[string]Rank }

func newFairQueue() policy {
	q := &fairQueue{last: make(map[string]Rank), queued: make(map[string]Rank)}
	return q.choose
}

func step(workspace string) Rank {
	if workspace == "large" {
		return RankStep(simItems, largeRate)
	}
	return RankStep(simItems, smallRate)
}

func (q *fairQueue) choose(open []*simJob) int {
	q.join(open)
	workspace := q.head()
	var own []*simJob
	for _, j := range open {
		if j.workspace == workspace {
			own = append(own, j)
		}
	}
	j := own[smallest(own, dueTime)]
	q.queued[workspace] = q.queued[workspace].Next(step(workspace))
	q.last[workspace] = q.queued[workspace]
	if len(own) == 1 && j.next == j.chunks-1 {
		delete(q.queued, workspace)
	}
	return slices.Index(open, j)
}

// join queues the workspaces that have work again.
func (q *fairQueue) join(open []*simJob) {
	for _, j := range open {
		if _, ok := q.queued[j.workspace]; !ok {
			head := q.queued[q.head()]
			q.queued[j.workspace] = RejoinRank(q.last[j.workspace], head, step(j.workspace))
		}
	}
}

// head returns the workspace with the lowest rank.
func (q *fairQueue) head() string {
	head := ""
	for w, r := range q.queued {
		if head == "" || r < q.queued[head] || r == q.queued[head] && w < head {
			head = w
		}
	}
	return head
}

// simulate runs the jobs. It returns how many ended after their due time, and which
// workspace had the largest mean slowdown. The slowdown of a job is the time it took
// as a multiple of the time on an idle fleet.
func simulate(choose policy, largeDue time.Duration, longChunks int) (missed int, worst string, slowdown float64) {
	jobs := simJobs(largeDue, longChunks)
	for now := time.Duration(0); ; now += simStep {
		var open []*simJob
		left := false
		for _, j := range jobs {
			left = left || j.next < j.chunks
			if j.arrives <= now && j.next < j.chunks {
				open = append(open, j)
			}
		}
		if !left {
			return summarize(jobs)
		}
		if len(open) == 0 {
			continue
		}
		j := open[choose(open)]
		if j.next++; j.next == j.chunks {
			j.ended = now + simStep
		}
	}
}

func summarize(jobs []*simJob) (missed int, worst string, slowdown float64) {
	sums, counts := make(map[string]float64), make(map[string]int)
	for _, j := range jobs {
		if j.ended > j.arrives+j.due {
			missed++
		}
		sums[j.workspace] += float64(j.ended-j.arrives) / float64(time.Duration(j.chunks)*simStep)
		counts[j.workspace]++
	}
	for w, sum := range sums {
		if mean := sum / float64(counts[w]); mean > slowdown || mean == slowdown && w < worst {
			worst, slowdown = w, mean
		}
	}
	return missed, worst, slowdown
}

func TestOrderAgainstFirstComeAndEarliestDue(t *testing.T) {
	ways := []struct {
		name  string
		order func() policy
	}{
		{"chosen", newFairQueue},
		{"first come", func() policy { return firstCome }},
		{"earliest due", func() policy { return earliestDue }},
	}
	missed, slowdown := make(map[string]int), make(map[string]float64)
	for _, load := range []struct {
		name     string
		largeDue time.Duration
		long     int
	}{
		{"large jobs due in 20m", 20 * time.Minute, 0},
		{"large jobs due in 1m", time.Minute, 0},
		{"small-0 starts with a long job", 20 * time.Minute, 60},
	} {
		for _, way := range ways {
			n, worst, slow := simulate(way.order(), load.largeDue, load.long)
			missed[way.name] += n
			slowdown[way.name] = max(slowdown[way.name], slow)
			t.Logf("%-30s  %-12s  missed due times %2d  slowest workspace %-8s slowdown %.1f", load.name, way.name, n, worst, slow)
		}
	}
	for _, way := range ways[1:] {
		if missed["chosen"] >= missed[way.name] || slowdown["chosen"] >= slowdown[way.name] {
			t.Errorf("the chosen order is no better than %s", way.name)
		}
	}
}

func TestJoinBoundsTheRank(t *testing.T) {
	for _, test := range []struct {
		name                   string
		last, head, step, want Rank
	}{
		{"idle for long", 10, 500, 7, 500},
		{"its last chunk is ahead of the head", 503, 500, 7, 503},
		{"it had the fleet for itself", 9000, 500, 7, 507},
	} {
		if got := RejoinRank(test.last, test.head, test.step); got != test.want {
			t.Errorf("%s: rank %d, want %d", test.name, got, test.want)
		}
	}
}

func TestReport(t *testing.T) {
	r := NewReport(Counts{Items: 100, Completed: 20, Failed: 5}, at(0), at(50*time.Second), at(25*time.Second))
	want := Report{Done: 25, Failed: 5, Remaining: 75, Rate: 1, ExpectedEnd: at(100 * time.Second), Lateness: 50 * time.Second}
	if r != want {
		t.Errorf("report = %+v, want %+v", r, want)
	}
	if r := NewReport(Counts{Items: 9}, at(0), at(10), at(20)); r.Remaining != 9 || !r.ExpectedEnd.IsZero() || r.Lateness != 10 {
		t.Errorf("report before any result = %+v", r)
	}
}
