package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/gateway"
)

type checkArgs struct {
	File     string `arg:"positional,required" help:"YAML file"`
	Settings string `arg:"--settings" placeholder:"ROLE" help:"check the settings of a gateway or agent instead of an inventory"`
}

func (a *checkArgs) run(_ context.Context, s *session) error {
	var err error
	switch config.Role(a.Settings) {
	case "":
		_, err = config.ReadInventory(a.File)
	case config.GatewayRole, config.AgentRole:
		_, err = config.ReadSettings(a.File, config.Role(a.Settings))
	default:
		return fmt.Errorf("role %q is neither gateway nor agent", a.Settings)
	}
	if err != nil {
		return err
	}
	return s.print(map[string]string{"file": a.File, "status": "ok"}, func() {
		fmt.Fprintf(s.out, "%s: ok\n", a.File)
	})
}

type diffArgs struct {
	File string `arg:"positional,required" help:"inventory file"`
}

func (a *diffArgs) run(ctx context.Context, s *session) error {
	inv, err := config.ReadInventory(a.File)
	if err != nil {
		return err
	}
	next, err := config.FormatInventory(&inv)
	if err != nil {
		return err
	}
	var current gateway.ConfigResponse
	if err := s.client.Get(ctx, "/admin/config", &current); err != nil {
		return err
	}
	const contextLines = 3
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(current.Inventory),
		B:        difflib.SplitLines(string(next)),
		FromFile: fmt.Sprintf("version %d", current.Version),
		ToFile:   a.File,
		Context:  contextLines,
	})
	if err != nil {
		return fmt.Errorf("compare inventories: %w", err)
	}
	return s.print(map[string]any{"version": current.Version, "diff": text}, func() {
		fmt.Fprint(s.out, text)
	})
}

// waitArgs says how long to wait until a change is in force.
type waitArgs struct {
	NoWait  bool          `arg:"--no-wait" help:"return as soon as the change is accepted"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"how long to wait until the change is in force"`
}

type applyArgs struct {
	File      string `arg:"positional,required" help:"inventory file"`
	Base      uint64 `arg:"--base" help:"fail unless this version is the current one"`
	Operation string `arg:"--operation" placeholder:"ID" help:"id of the change, to repeat one whose answer was lost"`
	waitArgs
}

func (a *applyArgs) run(ctx context.Context, s *session) error {
	if _, err := config.ReadInventory(a.File); err != nil {
		return err
	}
	text, err := os.ReadFile(a.File)
	if err != nil {
		return fmt.Errorf("read inventory: %w", err)
	}
	request := gateway.ApplyRequest{Edit: edit(a.Operation), Base: a.Base, Inventory: string(text)}
	return s.change(ctx, "/admin/config", request, request.Operation, a.waitArgs)
}

// edit returns what a change has in common, with a new operation id unless one
// is given.
func edit(operation string) gateway.Edit {
	if operation == "" {
		operation = uuid.NewString()
	}
	return gateway.Edit{Operation: operation, Author: author()}
}

// change makes a change and waits until it is in force.
func (s *session) change(ctx context.Context, path string, request any, operation string, w waitArgs) error {
	var accepted gateway.ApplyResponse
	if err := s.client.Post(ctx, path, request, &accepted); err != nil {
		return fmt.Errorf("operation %s: %w", operation, err)
	}
	return s.await(ctx, accepted.Version, w, map[string]any{"version": accepted.Version})
}

const awaitInterval = 100 * time.Millisecond

// await waits until the version is in force and prints the outcome with the
// given fields.
func (s *session) await(ctx context.Context, version uint64, w waitArgs, fields map[string]any) error {
	if w.NoWait {
		return s.print(fields, func() { fmt.Fprintf(s.out, "version %d accepted\n", version) })
	}
	started := time.Now()
	state, err := s.pollInForce(ctx, version, w.Timeout)
	if err != nil && !errors.Is(err, errPending) {
		return err
	}
	fields["in_force"] = state
	printErr := s.print(fields, func() {
		if err == nil {
			fmt.Fprintf(s.out, "version %d in force on %d daemons after %s\n",
				version, len(state.Daemons), time.Since(started).Round(time.Millisecond))
		}
	})
	return errors.Join(err, printErr)
}

// pollInForce asks the gateway until the version is in force on every daemon.
func (s *session) pollInForce(ctx context.Context, version uint64, timeout time.Duration) (gateway.InForceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	var state gateway.InForceResponse
	for {
		err := s.client.Get(ctx, fmt.Sprintf("/admin/in-force?version=%d", version), &state)
		if err == nil && state.Complete {
			return state, nil
		}
		if err != nil && ctx.Err() == nil {
			return state, err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return state, fmt.Errorf("version %d: %w; waiting for %s", version, errPending, strings.Join(state.Waiting(), ", "))
		}
	}
}

type keyIssueArgs struct {
	Workspace string `arg:"positional,required" help:"workspace that owns the key"`
	waitArgs
}

func (a *keyIssueArgs) run(ctx context.Context, s *session) error {
	request := gateway.KeyRequest{Edit: edit(""), Workspace: a.Workspace}
	var key gateway.KeyResponse
	if err := s.client.Post(ctx, "/admin/keys", request, &key); err != nil {
		return err
	}
	if !s.json {
		fmt.Fprintf(s.out, "id   %s\nkey  %s\n", key.ID, key.Key)
	}
	return s.await(ctx, key.Version, a.waitArgs, map[string]any{"id": key.ID, "key": key.Key, "version": key.Version})
}

type keyWithdrawArgs struct {
	ID string `arg:"positional,required" help:"id of the key, as key list shows it"`
	waitArgs
}

func (a *keyWithdrawArgs) run(ctx context.Context, s *session) error {
	request := gateway.KeyRequest{Edit: edit(""), ID: a.ID}
	return s.change(ctx, "/admin/keys/withdraw", request, request.Operation, a.waitArgs)
}

type setDataCentreArgs struct {
	Name string `arg:"positional,required" help:"data centre"`
	out  bool
	waitArgs
}

func (a *setDataCentreArgs) run(ctx context.Context, s *session) error {
	request := gateway.DataCentreRequest{Edit: edit(""), Name: a.Name, Out: a.out}
	return s.change(ctx, "/admin/data-centres", request, request.Operation, a.waitArgs)
}
