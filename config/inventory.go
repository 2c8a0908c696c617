// Package config reads and checks the settings file of a daemon and the inventory of the
// fleet.
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

// Problem is an error in one field of a file.
type Problem struct {
	// File is the path of the file as it was given.
	File string `json:"file"`
	// Line is the line of the error, starting at 1, or 0 if it is unknown.
	Line int `json:"line"`
	// Field is the path of the field, for example workspaces[2].rate. It is yaml if
	// the YAML library reports no field.
	Field string `json:"field"`
	// Text says what is wrong with the field.
	Text string `json:"text"`
	// Code is always result.ConfigInvalid.
	Code result.Code `json:"code"`
}

// Error returns the text with its position and code.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s (%d)", p.File, p.Line, p.Field, p.Text, int(p.Code))
}

// ReadInventory reads an inventory file, sets the defaults and checks it. If the file can be
// read but is invalid, the error joins one Problem for each error that was found.
func ReadInventory(path string) (fleet.Inventory, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet.Inventory{}, fmt.Errorf("read inventory: %w", err)
	}
	return ParseInventory(path, data)
}

// ParseInventory parses the YAML text of an inventory, sets the defaults and checks it. Unknown
// fields are errors. The error joins one Problem for each error that was found. The file is
// only named in the problems.
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

// FormatInventory returns the YAML text of the inventory.
func FormatInventory(inv *fleet.Inventory) ([]byte, error) {
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(2)
	if err := enc.Encode(inv); err != nil {
		return nil, fmt.Errorf("encode inventory: %w", err)
	}
	return buf.Bytes(), nil
}

// decode parses data into value and returns the document node. Unknown fields are errors. An
// empty document leaves value unchanged.
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

// yamlProblems converts an error of the YAML library to an error that joins one Problem for
// each of its messages.
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

// Patterns of the messages of the YAML library.
var (
	linePattern  = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
	fieldPattern = regexp.MustCompile(`^field (\S+) not found in type \S+$`)
)

// parseProblem converts a message of the YAML library to a Problem.
func parseProblem(file, text string) Problem {
	p := Problem{File: file, Field: "yaml", Text: text, Code: result.ConfigInvalid}
	if m := linePattern.FindStringSubmatch(text); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Text = m[2]
	}
	if m := fieldPattern.FindStringSubmatch(p.Text); m != nil {
		p.Field = m[1]
		p.Text = "unknown field"
	}
	return p
}
