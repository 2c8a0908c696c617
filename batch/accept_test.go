package batch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/standin"
	"github.com/baobablanding/baobablanding/store"
)

const endpoint = "/v1/completions"

// countingObjects counts and measures the chunk inputs in an object store.
type countingObjects struct {
	store.Objects
	inputs  atomic.Int64 // number of chunk inputs stored and not deleted
	largest atomic.Int64 // size of the largest chunk input in bytes
}

func (o *countingObjects) Put(ctx context.Context, name string, body io.Reader) error {
	if strings.HasPrefix(name, "batch/input/") {
		o.inputs.Add(1)
		o.largest.Store(max(o.largest.Load(), int64(body.(*bytes.Reader).Len())))
	}
	return o.Objects.Put(ctx, name, body)
}

func (o *countingObjects) Delete(ctx context.Context, name string) error {
	o.inputs.Add(-1)
	return o.Objects.Delete(ctx, name)
}

// acceptTest is a Store on a platform of its own.
type acceptTest struct {
	*Store
	t        *testing.T
	platform *standin.Platform
	objects  *countingObjects
	rules    fleet.Rules
}

func newAcceptTest(t *testing.T) *acceptTest {
	p, err := standin.StartPlatform("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	var inv fleet.Inventory
	inv.SetDefaults()
	objects := &countingObjects{Objects: p.Objects(10 * time.Second)}
	return &acceptTest{Store: NewStore(p.Table(time.Second), objects), t: t, platform: p, objects: objects, rules: inv.Rules}
}

// file uploads a file and returns its ID.
func (a *acceptTest) file(content string) string {
	a.t.Helper()
	f, err := a.PutFile(context.Background(), "guild", "items", strings.NewReader(content))
	if err != nil {
		a.t.Fatal(err)
	}
	return f.ID
}

func (a *acceptTest) submission(file, key string) Submission {
	return Submission{
		Workspace: &fleet.Workspace{Name: "guild", Rate: 100, Models: []string{"m1", "m2"}},
		Endpoint:  endpoint, InputFile: file, Due: time.Now().Add(time.Hour), IdempotencyKey: key,
	}
}

func itemLine(id, model string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":%q,"body":{"model":%q,"prompt":"p"}}`+"\n", id, endpoint, model)
}

// lines returns a batch file of n items that name the models m1 and m2 in turn.
func lines(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(itemLine(fmt.Sprint(i), fmt.Sprint("m", i%2+1)))
	}
	return b.String()
}

func TestAcceptNamesTheBadLine(t *testing.T) {
	good := itemLine("a", "m1")
	for _, test := range []struct {
		name, content, want string
		code                result.Code
	}{
		{"not JSON", good + "{\n", "line 2", result.BadBatchLine},
		{"no custom_id", good + "\n" + itemLine("", "m1"), "line 3: custom_id is missing", result.BadBatchLine},
		{"custom_id twice", good + itemLine("b", "m1") + good, `line 3: custom_id "a" was used in line 1`, result.BadBatchLine},
		{"no model", itemLine("a", ""), "line 1: the body names no model", result.BadBatchLine},
		{"other endpoint", strings.Replace(good, endpoint, "/v1/embeddings", 1), "line 1: url", result.BadBatchLine},
		{"foreign model", good + itemLine("b", "m3"), "line 2: workspace", result.ModelNotAllowed},
		{"long line", good + strings.Repeat("x", maxLineBytes+1), "line 2 is longer", result.BadBatchLine},
		{"empty", "\n\n", "no items", result.EmptyBatch},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAcceptTest(t)
			a.rules.ChunkItems = 1
			_, err := a.Accept(t.Context(), a.submission(a.file(test.content), ""), a.rules)
			if result.CodeOf(err) != test.code || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error = %v, want %v with %q", err, test.code, test.want)
			}
			if n := a.objects.inputs.Load(); n != 0 {
				t.Errorf("%d chunk inputs were not deleted", n)
			}
		})
	}
}

func TestAcceptSplitsTheLargestJobIntoChunks(t *testing.T) {
	a := newAcceptTest(t)
	job, err := a.Accept(t.Context(), a.submission(a.file(lines(a.rules.MaxItems)), ""), a.rules)
	if err != nil {
		t.Fatal(err)
	}
	if job.Items != a.rules.MaxItems || job.Chunks != 148 {
		t.Errorf("items = %d, chunks = %d", job.Items, job.Chunks)
	}
	if n := a.objects.largest.Load(); n > maxChunkBytes {
		t.Errorf("a chunk has %d bytes", n)
	}
	_, err = a.Accept(t.Context(), a.submission(a.file(lines(a.rules.MaxItems+1)), ""), a.rules)
	if result.CodeOf(err) != result.TooManyItems || !strings.Contains(err.Error(), "line 59001") {
		t.Errorf("job with one item too many: %v", err)
	}
}

func TestChunksHoldOneModel(t *testing.T) {
	a := newAcceptTest(t)
	job, err := a.Accept(t.Context(), a.submission(a.file(lines(1000)), ""), a.rules)
	if err != nil {
		t.Fatal(err)
	}
	items := 0
	for {
		c, err := a.ClaimNext(t.Context(), "m2", Worker{Holder: "w", Lease: time.Minute})
		if err != nil {
			t.Fatal(err)
		}
		if c == nil {
			break
		}
		list, err := a.Items(t.Context(), &c.Chunk)
		if err != nil {
			t.Fatal(err)
		}
		for i := range list {
			if list[i].Model() != "m2" {
				t.Fatalf("chunk %d of m2 holds an item of %s", c.Index, list[i].Model())
			}
		}
		items += len(list)
	}
	if items != job.Items/2 {
		t.Errorf("the chunks of m2 hold %d items, want %d", items, job.Items/2)
	}
}

func TestRepeatedSubmissionReturnsTheFirstJob(t *testing.T) {
	content, other := lines(10), lines(11)
	for _, test := range []struct {
		name                    string
		key1, key2, file2, meta string
		same                    bool
		code                    result.Code
	}{
		{name: "same key", key1: "k", key2: "k", file2: content, same: true},
		{name: "same content without a key", file2: content, same: true},
		{name: "other key", key1: "k", key2: "l", file2: content},
		{name: "other content without a key", file2: other},
		{name: "other metadata without a key", file2: content, meta: "second"},
		{name: "same key with other content", key1: "k", key2: "k", file2: other, code: result.IdempotencyChanged},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAcceptTest(t)
			first, err := a.Accept(t.Context(), a.submission(a.file(content), test.key1), a.rules)
			if err != nil {
				t.Fatal(err)
			}
			sub := a.submission(a.file(test.file2), test.key2)
			if test.meta != "" {
				sub.Metadata = map[string]string{"run": test.meta}
			}
			second, err := a.Accept(t.Context(), sub, a.rules)
			if test.code != 0 {
				if result.CodeOf(err) != test.code {
					t.Errorf("error = %v, want %v", err, test.code)
				}
				return
			}
			if err != nil || (second.ID == first.ID) != test.same {
				t.Errorf("second job %s, error %v, first job %s; want the same job: %t", second.ID, err, first.ID, test.same)
			}
		})
	}
}

func TestConcurrentSubmissionsAcceptOneJob(t *testing.T) {
	const gateways, rounds = 4, 10
	a := newAcceptTest(t)
	a.rules.ChunkItems = 2
	for round := range rounds {
		file := a.file(lines(10 + round))
		before := a.objects.inputs.Load()
		jobs := make([]Job, gateways)
		var wg sync.WaitGroup
		for i := range gateways {
			wg.Add(1)
			go func() {
				defer wg.Done()
				var err error
				if jobs[i], err = a.Accept(context.Background(), a.submission(file, "k"+fmt.Sprint(round)), a.rules); err != nil {
					t.Error(err)
				}
			}()
		}
		wg.Wait()
		for _, job := range jobs {
			if job.ID != jobs[0].ID {
				t.Fatalf("round %d accepted the jobs %s and %s", round, jobs[0].ID, job.ID)
			}
		}
		if left := a.objects.inputs.Load() - before; left != int64(jobs[0].Chunks) {
			t.Errorf("round %d left %d chunk inputs, want the job's %d", round, left, jobs[0].Chunks)
		}
	}
	list, _, err := a.Jobs(t.Context(), "guild", "", 100)
	if err != nil || len(list) != rounds {
		t.Errorf("%d jobs exist, error %v; want %d", len(list), err, rounds)
	}
}

func TestLostResponsesAcceptOneJob(t *testing.T) {
	for lost := range 8 {
		a := newAcceptTest(t)
		a.rules.ChunkItems = 2
		file := a.file(lines(4))
		a.platform.SetFaults(standin.Faults{DropResponses: lost})
		sub := a.submission(file, "")
		job, err := a.Accept(t.Context(), sub, a.rules)
		for err != nil { // repeat the submission as a client would
			job, err = a.Accept(t.Context(), sub, a.rules)
		}
		list, _, err := a.Jobs(t.Context(), "guild", "", 100)
		if err != nil || len(list) != 1 || list[0].ID != job.ID {
			t.Errorf("with %d lost responses: jobs %v, error %v; want only %s", lost, list, err, job.ID)
		}
	}
}

func TestJobsArePagedNewestFirst(t *testing.T) {
	a := newAcceptTest(t)
	var want []string
	for i := range 5 {
		job, err := a.Accept(t.Context(), a.submission(a.file(lines(i+1)), ""), a.rules)
		if err != nil {
			t.Fatal(err)
		}
		want = append([]string{job.ID}, want...)
	}
	var got []string
	after, more := "", true
	for more {
		var page []Job
		var err error
		if page, more, err = a.Jobs(t.Context(), "guild", after, 2); err != nil {
			t.Fatal(err)
		}
		for _, job := range page {
			got = append(got, job.ID)
		}
		after = page[len(page)-1].ID
	}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Errorf("jobs = %v, want %v", got, want)
	}
}
