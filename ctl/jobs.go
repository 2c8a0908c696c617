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

// watchInterval is the time between two reads of a watched job.
const watchInterval = time.Second

// jobsArgs is the command "jobs".
type jobsArgs struct {
	Watch string `arg:"--watch" placeholder:"ID" help:"print the progress of the job with this id until it has ended"`
}

// run lists all jobs, or watches the job of --watch.
func (a *jobsArgs) run(ctx context.Context, s *session) error {
	if a.Watch != "" {
		return a.watch(ctx, s)
	}
	return printList(ctx, s, "/admin/jobs", jobHeader, jobRow)
}

// jobHeader names the cells of jobRow.
const jobHeader = "ID WORKSPACE STATE ITEMS DONE FAILED LEFT ITEMS/S EXPECTED-END DUE LATE"

// jobRow returns the cells of one job.
func jobRow(j gateway.JobInfo) []any {
	p := j.Progress
	return []any{
		j.ID, j.Workspace, j.State, j.Items, p.Done, p.Failed, p.Remaining,
		fmt.Sprintf("%.1f", p.Rate), formatTime(p.ExpectedEnd), formatTime(j.Due), p.Lateness.Round(time.Second),
	}
}

// watch prints the progress of one job until the job has ended or ctx is done.
func (a *jobsArgs) watch(ctx context.Context, s *session) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		job, err := getJob(ctx, s, a.Watch)
		if err != nil {
			return err
		}
		if err := s.printResult(job, func() { s.printTable(jobHeader, [][]any{jobRow(job)}) }); err != nil {
			return err
		}
		if job.State != string(batch.JobActive) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.New("interrupted; the batch job continues to run")
		}
	}
}

// getJob reads the job with the id from the gateway.
func getJob(ctx context.Context, s *session, id string) (gateway.JobInfo, error) {
	var job gateway.JobInfo
	err := s.client.Get(ctx, "/admin/jobs/"+url.PathEscape(id), &job)
	return job, err
}
