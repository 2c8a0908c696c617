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

// checkArgs is the command "check".
type checkArgs struct {
	File     string `arg:"positional,required" help:"inventory or settings file in YAML"`
	Settings string `arg:"--settings" placeholder:"ROLE" help:"check the file as the settings of a gateway or agent instead of an inventory"`
}

// run checks the file without calling a gateway.
func (a *checkArgs) run(_ context.Context, s *session) error {
	var err error
	switch config.Role(a.Settings) {
	case "":
		_, err = config.ReadInventory(a.File)
	case config.RoleGateway, config.RoleAgent:
		_, err = config.ReadSettings(a.File, config.Role(a.Settings))
	default:
		return fmt.Errorf("%w: --settings: unknown role %q; use gateway or agent", errUsage, a.Settings)
	}
	if err != nil {
		return err
	}
	return s.printResult(map[string]string{"file": a.File, "status": "ok"}, func() {
		fmt.Fprintf(s.out, "%s: ok\n", a.File)
	})
}

// diffArgs is the command "diff".
type diffArgs struct {
	File string `arg:"positional,required" help:"inventory file in YAML"`
}

// run prints a unified diff from the inventory in force to the file.
func (a *diffArgs) run(ctx context.Context, s *session) error {
	inventory, err := config.ReadInventory(a.File)
	if err != nil {
		return err
	}
	next, err := config.FormatInventory(&inventory)
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
		return fmt.Errorf("compare the inventory in force with the file: %w", err)
	}
	return s.printResult(map[string]any{"version": current.Version, "diff": text}, func() {
		fmt.Fprint(s.out, text)
	})
}

// waitArgs says whether and how long a command waits until its change is in force on
// every daemon.
type waitArgs struct {
	NoWait  bool          `arg:"--no-wait" help:"return as soon as the change is accepted, without waiting until it is in force"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"how long to wait until the change is in force on every daemon"`
}

// applyArgs is the command "apply".
type applyArgs struct {
	File      string `arg:"positional,required" help:"inventory file in YAML"`
	Base      uint64 `arg:"--base" help:"fail unless this is the current version of the configuration"`
	Operation string `arg:"--operation" placeholder:"ID" help:"id of the change; give the same id to repeat a change whose response was lost"`
	waitArgs
}

// run replaces the inventory by the file.
func (a *applyArgs) run(ctx context.Context, s *session) error {
	if _, err := config.ReadInventory(a.File); err != nil {
		return err
	}
	text, err := os.ReadFile(a.File)
	if err != nil {
		return fmt.Errorf("read inventory file: %w", err)
	}
	request := gateway.ApplyRequest{ChangeMetadata: newEdit(a.Operation), BaseVersion: a.Base, Inventory: string(text)}
	return s.submitChange(ctx, "/admin/config", request, request.Operation, a.waitArgs)
}

// newEdit returns the fields that all changes have in common. It generates an operation
// id if operation is empty.
func newEdit(operation string) gateway.ChangeMetadata {
	if operation == "" {
		operation = uuid.NewString()
	}
	return gateway.ChangeMetadata{Operation: operation, Author: author()}
}

// submitChange sends a change to the gateway and waits until it is in force.
func (s *session) submitChange(ctx context.Context, path string, request any, operation string, w waitArgs) error {
	var accepted gateway.ApplyResponse
	if err := s.client.Post(ctx, path, request, &accepted); err != nil {
		return fmt.Errorf("submit change with operation id %s: %w", operation, err)
	}
	return s.waitInForce(ctx, accepted.Version, w, map[string]any{"version": accepted.Version})
}

// inForcePollInterval is the time between two polls while a change is not yet in force.
const inForcePollInterval = 100 * time.Millisecond

// waitInForce waits until the version is in force on every daemon, unless w says not to
// wait, and prints the outcome with the given fields. It returns errNotInForce if the
// time to wait passes before.
func (s *session) waitInForce(ctx context.Context, version uint64, w waitArgs, fields map[string]any) error {
	if w.NoWait {
		return s.printResult(fields, func() { fmt.Fprintf(s.out, "version %d accepted\n", version) })
	}
	started := time.Now()
	state, err := s.pollInForce(ctx, version, w.Timeout)
	if err != nil && !errors.Is(err, errNotInForce) {
		return err
	}
	fields["in_force"] = state
	printErr := s.printResult(fields, func() {
		if err == nil {
			fmt.Fprintf(s.out, "version %d in force on %d daemons after %s\n",
				version, len(state.Daemons), time.Since(started).Round(time.Millisecond))
		}
	})
	return errors.Join(err, printErr)
}

// pollInForce polls the gateway until the version is in force on every daemon. It
// returns the last state and errNotInForce if that takes longer than the timeout.
func (s *session) pollInForce(ctx context.Context, version uint64, timeout time.Duration) (gateway.InForceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
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
			return state, fmt.Errorf("version %d is %w; these daemons have not confirmed it: %s", version, errNotInForce, strings.Join(state.WaitingDaemons(), ", "))
		}
	}
}

// keyIssueArgs is the command "key issue".
type keyIssueArgs struct {
	Workspace string `arg:"positional,required" help:"name of the workspace that owns the key"`
	waitArgs
}

// run issues a key. It prints the key as soon as it is issued, since the gateway
// returns it only once; with --json the key is part of the outcome that is printed at
// the end.
func (a *keyIssueArgs) run(ctx context.Context, s *session) error {
	request := gateway.KeyRequest{ChangeMetadata: newEdit(""), Workspace: a.Workspace}
	var key gateway.KeyResponse
	if err := s.client.Post(ctx, "/admin/keys", request, &key); err != nil {
		return err
	}
	if !s.json {
		fmt.Fprintf(s.out, "id   %s\nkey  %s\n", key.ID, key.Key)
	}
	return s.waitInForce(ctx, key.Version, a.waitArgs, map[string]any{"id": key.ID, "key": key.Key, "version": key.Version})
}

// keyWithdrawArgs is the command "key withdraw".
type keyWithdrawArgs struct {
	ID string `arg:"positional,required" help:"id of the key, as printed by baobabctl key list"`
	waitArgs
}

// run withdraws the key with the id.
func (a *keyWithdrawArgs) run(ctx context.Context, s *session) error {
	request := gateway.KeyRequest{ChangeMetadata: newEdit(""), ID: a.ID}
	return s.submitChange(ctx, "/admin/keys/withdraw", request, request.Operation, a.waitArgs)
}

// setDataCentreArgs is the command "dc out" or "dc in".
type setDataCentreArgs struct {
	Name    string `arg:"positional,required" help:"name of the data centre"`
	takeOut bool   // set by Main for "dc out"
	waitArgs
}

// run takes the data centre out of service or returns it to service.
func (a *setDataCentreArgs) run(ctx context.Context, s *session) error {
	request := gateway.DataCentreRequest{ChangeMetadata: newEdit(""), Name: a.Name, TakeOut: a.takeOut}
	return s.submitChange(ctx, "/admin/data-centres", request, request.Operation, a.waitArgs)
}
