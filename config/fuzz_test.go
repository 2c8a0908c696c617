package config_test

import (
	"os"
	"testing"

	"github.com/baobablanding/baobablanding/config"
)

// addFiles adds the contents of the files to the seed corpus of a fuzz test.
func addFiles(f *testing.F, paths ...string) {
	f.Helper()
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
}

// FuzzParseInventory checks that a valid inventory is the same after it was formatted and
// parsed again.
func FuzzParseInventory(f *testing.F) {
	addFiles(f, "../examples/garrafon.yaml", "../examples/guild.yaml")
	f.Add([]byte("workspaces:\n- name: a\n  rate: .nan\n"))
	f.Add([]byte("rules: {online_wait: -1s}\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, err := config.ParseInventory("fuzz", data)
		if err != nil {
			return
		}
		text, err := config.FormatInventory(&inv)
		if err != nil {
			t.Fatal(err)
		}
		again, err := config.ParseInventory("fuzz", text)
		if err != nil {
			t.Fatalf("a valid inventory is rejected after it was formatted: %v\n%s", err, text)
		}
		second, err := config.FormatInventory(&again)
		if err != nil {
			t.Fatal(err)
		}
		if string(text) != string(second) {
			t.Errorf("formatting changed the inventory:\n%s\n%s", text, second)
		}
	})
}

// FuzzParseSettings checks that valid settings are the same after they were formatted and
// parsed again.
func FuzzParseSettings(f *testing.F) {
	addFiles(f, "../examples/gateway-settings.yaml", "../examples/agent-settings.yaml")
	f.Add([]byte("drain: -1s\n"))
	f.Add([]byte("platform: 3\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, role := range []config.Role{config.RoleGateway, config.RoleAgent} {
			s, err := config.ParseSettings("fuzz", data, role)
			if err != nil {
				continue
			}
			text, err := config.FormatSettings(&s)
			if err != nil {
				t.Fatal(err)
			}
			again, err := config.ParseSettings("fuzz", text, role)
			if err != nil {
				t.Fatalf("valid settings are rejected after they were formatted: %v\n%s", err, text)
			}
			second, err := config.FormatSettings(&again)
			if err != nil {
				t.Fatal(err)
			}
			if string(text) != string(second) {
				t.Errorf("formatting changed the settings:\n%s\n%s", text, second)
			}
		}
	})
}
