package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// traceContext is the time before a story's first line from which lines about
	// the state of the processes that took part are shown.
	traceContext = 15 * time.Second
	// maxLogLine bounds one log line, in bytes.
	maxLogLine = 1 << 20
)

type traceArgs struct {
	ID    string   `arg:"positional,required" placeholder:"ID" help:"id of a request, a batch job or an item"`
	Paths []string `arg:"positional,required" placeholder:"PATH" help:"log files of daemons, or directories of them"`
}

// logLine is one line of a daemon's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

func (l *logLine) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// run prints the story of the request, job or item from log files alone.
func (a *traceArgs) run(_ context.Context, s *session) error {
	lines, err := readLogs(a.Paths)
	if err != nil {
		return err
	}
	story := tell(lines, a.ID)
	if len(story) == 0 {
		return fmt.Errorf("no log line names %q", a.ID)
	}
	if s.json {
		all := make([]map[string]any, 0, len(story))
		for _, l := range story {
			all = append(all, l.fields)
		}
		return json.NewEncoder(s.out).Encode(all)
	}
	for _, l := range story {
		if _, err := fmt.Fprintln(s.out, l.format()); err != nil {
			return err
		}
	}
	return nil
}

// readLogs returns the lines of all files in the order of their times.
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
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	return lines, nil
}

// readLog returns the lines of one file that are log lines. Whatever stands
// before the JSON of a line is left out.
func readLog(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		l := logLine{}
		if json.Unmarshal([]byte(scanner.Text()[start:]), &l.fields) != nil {
			continue // not a log line
		}
		if l.at, err = time.Parse(time.RFC3339Nano, l.text("time")); err == nil {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// tell returns the lines that name the id and, from the processes that took part,
// what changed their state shortly before.
func tell(lines []logLine, id string) []logLine {
	var story []logLine
	processes, engines, jobs := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.text("request") != id && l.text("job") != id && l.text("item") != id {
			continue
		}
		story = append(story, l)
		processes[l.text("name")] = true
		engines[l.text("engine")] = true
		if l.text("item") == id {
			jobs[l.text("job")] = true
		}
	}
	if len(story) == 0 {
		return nil
	}
	from, to := story[0].at.Add(-traceContext), story[len(story)-1].at
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(to) {
			continue
		}
		ofJob := jobs[l.text("job")] && l.text("item") == ""
		if ofJob || processes[l.text("name")] && isState(&l, engines) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(x, y logLine) int { return x.at.Compare(y.at) })
	return story
}

// isState tells whether the line is about what its process knows, not about a
// request or a job, and about no other engine than those of the story.
func isState(l *logLine, engines map[string]bool) bool {
	for _, field := range []string{"request", "job", "item"} {
		if l.text(field) != "" {
			return false
		}
	}
	engine := l.text("engine")
	return engine == "" || engines[engine]
}

// format returns the line for people: time, process, message and its inputs.
func (l *logLine) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", l.at.Format("15:04:05.000"), l.text("name"), l.text("message"))
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
