package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestExamplesAreValid(t *testing.T) {
	inventories := []struct {
		file                        string
		dataCentres, engines, space int
	}{
		{"garrafon.yaml", 3, 14, 8},
		{"guild.yaml", 4, 14, 8},
	}
	for _, want := range inventories {
		inv, err := ReadInventory(filepath.Join("..", "examples", want.file))
		if err != nil {
			t.Errorf("%s: %v", want.file, err)
			continue
		}
		engines := 0
		for _, u := range inv.Upstreams {
			if u.Kind == "engine" {
				engines++
			}
		}
		if len(inv.DataCentres) != want.dataCentres || engines != want.engines || len(inv.Workspaces) != want.space {
			t.Errorf("%s has %d data centres, %d engines, %d workspaces", want.file, len(inv.DataCentres), engines, len(inv.Workspaces))
		}
	}
	for role, file := range map[Role]string{RoleGateway: "gateway-settings.yaml", RoleAgent: "agent-settings.yaml"} {
		if _, err := ReadSettings(filepath.Join("..", "examples", file), role); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// TestProblems checks the problems that are found in invalid files. The input of the command
// edit is lines "old => new", which are replacements in examples/guild.yaml. The input of the
// command settings is a settings file.
func TestProblems(t *testing.T) {
	example, err := os.ReadFile("../examples/guild.yaml")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/problems", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "edit":
			text := string(example)
			for line := range strings.Lines(d.Input) {
				old, new, _ := strings.Cut(strings.TrimSpace(line), " => ")
				if !strings.Contains(text, old) {
					t.Fatalf("the example does not contain %q", old)
				}
				text = strings.Replace(text, old, new, 1)
			}
			_, err := ParseInventory("guild.yaml", []byte(text))
			return problems(err)
		case "settings":
			_, err := ParseSettings("settings.yaml", []byte(d.Input), RoleGateway)
			return problems(err)
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
}

// problems returns the text of the error, which must join values of type Problem.
func problems(err error) string {
	if err == nil {
		return "ok\n"
	}
	var p Problem
	if !errors.As(err, &p) {
		return fmt.Sprintf("not a problem: %v\n", err)
	}
	return err.Error() + "\n"
}
