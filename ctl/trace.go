package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// stateLeadTime is the time before the first line about the id from which lines
	// about the state of the involved processes are shown too.
	stateLeadTime = 15 * time.Second
	// maxLogLineBytes bounds the length of one log line. A longer line is skipped.
	maxLogLineBytes = 1 << 20
)

// traceArgs is the command "trace".
type traceArgs struct {
	ID    string   `arg:"positional,required" placeholder:"ID" help:"id of a request, batch job or item"`
	Paths []string `arg:"positional,required" placeholder:"PATH" help:"log files of the daemons, or directories that hold them"`
}

// logLine is one line of a daemon's log.
type logLine struct {
	loggedAt time.Time
	fields   map[string]any
}

// stringField returns the value of the field, or "" if it is missing or no string.
func (l *logLine) stringField(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// run prints the log lines that explain what happened to the request, job or item. It
// needs only the log files, no running daemon.
func (a *traceArgs) run(_ context.Context, s *session) error {
	lines, err := readLogs(a.Paths)
	if err != nil {
		return err
	}
	selected := selectLines(lines, a.ID)
	if len(selected) == 0 {
		return fmt.Errorf("no log line mentions a request, job or item with the id %q; check the id and the paths", a.ID)
	}
	if s.json {
		all := make([]map[string]any, 0, len(selected))
		for _, l := range selected {
			all = append(all, l.fields)
		}
		return json.NewEncoder(s.out).Encode(all)
	}
	for _, l := range selected {
		if _, err := fmt.Fprintln(s.out, l.format()); err != nil {
			return err
		}
	}
	return nil
}

// readLogs returns the log lines of all files, and of the files below directories, in
// the order of their times.
func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			found, err := readLog(name)
			lines = append(lines, found...)
			return err
		})
		if err != nil {
			return nil, fmt.Errorf("read logs: %w", err)
		}
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.loggedAt.Compare(y.loggedAt) })
	return lines, nil
}

// readLog returns the log lines of one file. It skips text before the JSON object of a
// line, such as a prefix that a log collector adds, and lines without JSON or time.
func readLog(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var lines []logLine
	reader := bufio.NewReaderSize(file, maxLogLineBytes)
	tooLong := false // the text belongs to a line that is too long
	for {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			tooLong = true
			continue
		}
		if l, ok := parseLogLine(text); ok && !tooLong {
			lines = append(lines, l)
		}
		tooLong = false
		if err == io.EOF {
			return lines, nil
		}
		if err != nil {
			return lines, err
		}
	}
}

// parseLogLine returns the log line in the text, or false if the text has no JSON object
// with a time.
func parseLogLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{}
	if json.Unmarshal(text[start:], &l.fields) != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.stringField("time"))
	l.loggedAt = at
	return l, err == nil
}

// selectLines returns the lines about the id in the order of their times. It adds the
// lines about the job of an item, and those about state changes of the involved
// processes from stateLeadTime before the first line to the last line. It returns nil
// if no line is about the id.
func selectLines(lines []logLine, id string) []logLine {
	var selected []logLine
	processes, engines, jobs := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.stringField("request") != id && l.stringField("job") != id && l.stringField("item") != id {
			continue
		}
		selected = append(selected, l)
		processes[l.stringField("name")] = true
		engines[l.stringField("engine")] = true
		if l.stringField("item") == id {
			jobs[l.stringField("job")] = true
		}
	}
	if len(selected) == 0 {
		return nil
	}
	from, to := selected[0].loggedAt.Add(-stateLeadTime), selected[len(selected)-1].loggedAt
	for _, l := range lines {
		if l.loggedAt.Before(from) || l.loggedAt.After(to) {
			continue
		}
		ofJob := jobs[l.stringField("job")] && l.stringField("item") == ""
		if ofJob || processes[l.stringField("name")] && isAboutState(&l, engines) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(x, y logLine) int { return x.loggedAt.Compare(y.loggedAt) })
	return selected
}

// isAboutState reports whether the line is about the state of its process, not about a
// request, job or item. A line about an engine counts only if the engine is one of
// engines.
func isAboutState(l *logLine, engines map[string]bool) bool {
	for _, field := range []string{"request", "job", "item"} {
		if l.stringField(field) != "" {
			return false
		}
	}
	engine := l.stringField("engine")
	return engine == "" || engines[engine]
}

// format returns the line as text: time, process, message and the other fields in the
// order of their names.
func (l *logLine) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", l.loggedAt.Format("15:04:05.000"), l.stringField("name"), l.stringField("message"))
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains([]string{"time", "name", "message", "level"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
