package ctl

import (
	"context"
	"errors"
)

type burnArgs struct {
	HTML string `arg:"--html" placeholder:"FILE" help:"write a page with plots"`
}

func (*burnArgs) run(context.Context, *session) error {
	return errors.New("the report is not available yet")
}
