// Package config reads and checks the settings of a daemon and the inventory
// with its rules.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// Problem is one fault found in a file.
type Problem struct {
	// File is the name of the file.
	File string `json:"file"`
	// Line is the line of the fault, starting at 1, or 0 if unknown.
	Line int `json:"line"`
	// Field is the path of the faulty field, for example workspaces[2].rate.
	Field string `json:"field"`
	// Text says what is wrong.
	Text string `json:"text"`
	// Code is always result.ConfigInvalid.
	Code result.Code `json:"code"`
}

// Error returns the fault with its position and code.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s (%d)", p.File, p.Line, p.Field, p.Text, int(p.Code))
}

// ReadInventory reads and checks the inventory file. The error joins a
// Problem for each fault.
func ReadInventory(path string) (fleet.Inventory, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet.Inventory{}, fmt.Errorf("read inventory: %w", err)
	}
	return ParseInventory(path, data)
}

// ParseInventory checks the YAML text of an inventory and returns it with its
// defaults set. The error joins a Problem for each fault.
func ParseInventory(file string, data []byte) (fleet.Inventory, error) {
	var inv fleet.Inventory
	doc, err := decode(file, data, &inv)
	if err != nil {
		return inv, err
	}
	inv.SetDefaults()
	c := &checker{file: file, doc: doc}
	c.inventory(&inv)
	return inv, c.err()
}

// FormatInventory returns the YAML text of an inventory.
func FormatInventory(inv *fleet.Inventory) ([]byte, error) {
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(2)
	if err := enc.Encode(inv); err != nil {
		return nil, fmt.Errorf("encode inventory: %w", err)
	}
	return buf.Bytes(), nil
}

// decode parses data strictly into value and returns the document node.
func decode(file string, data []byte, value any) (*yaml.Node, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return nil, yamlProblems(file, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(value); err != nil && !errors.Is(err, io.EOF) {
		return nil, yamlProblems(file, err)
	}
	return &doc, nil
}

func yamlProblems(file string, err error) error {
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		return parseProblem(file, err.Error())
	}
	problems := make([]error, 0, len(typed.Errors))
	for _, text := range typed.Errors {
		problems = append(problems, parseProblem(file, text))
	}
	return errors.Join(problems...)
}

// Forms of the YAML library's messages.
var (
	linePattern  = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
	fieldPattern = regexp.MustCompile(`^field (\S+) not found in type \S+$`)
)

// parseProblem returns the problem that a message of the YAML library reports.
func parseProblem(file, text string) Problem {
	p := Problem{File: file, Field: "yaml", Text: text, Code: result.ConfigInvalid}
	if m := linePattern.FindStringSubmatch(text); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Text = m[2]
	}
	if m := fieldPattern.FindStringSubmatch(p.Text); m != nil {
		p.Field = m[1]
		p.Text = "the field does not exist"
	}
	return p
}
