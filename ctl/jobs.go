package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/gateway"
)

// watchInterval is the time between two looks at a watched job.
const watchInterval = time.Second

type jobsArgs struct {
	Watch string `arg:"--watch" placeholder:"ID" help:"follow one job until it has ended"`
}

func (a *jobsArgs) run(ctx context.Context, s *session) error {
	if a.Watch != "" {
		return a.watch(ctx, s)
	}
	return list(ctx, s, "/admin/jobs", jobHeader, jobRow)
}

const jobHeader = "ID WORKSPACE STATE ITEMS DONE FAILED LEFT ITEMS/S EXPECTED-END DUE LATE"

func jobRow(j gateway.JobInfo) []any {
	p := j.Progress
	return []any{
		j.ID, j.Workspace, j.State, j.Items, p.Done, p.Failed, p.Remaining,
		fmt.Sprintf("%.1f", p.Rate), moment(p.End), moment(j.Due), p.Lateness.Round(time.Second),
	}
}

// watch prints the job's progress until it has ended.
func (a *jobsArgs) watch(ctx context.Context, s *session) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		job, err := findJob(ctx, s, a.Watch)
		if err != nil {
			return err
		}
		if err := s.print(job, func() { s.table(jobHeader, [][]any{jobRow(job)}) }); err != nil {
			return err
		}
		if job.State != string(batch.JobActive) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.New("interrupted; the job goes on")
		}
	}
}

func findJob(ctx context.Context, s *session, id string) (gateway.JobInfo, error) {
	var job gateway.JobInfo
	err := s.client.Get(ctx, "/admin/jobs/"+url.PathEscape(id), &job)
	return job, err
}
