package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/fault"
)

// maxLine is the longest line of a log that is read, in bytes.
const maxLogLineBytes = 1 << 20

// explainCommand returns `limpetrelay explain`.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the story of one job from the logs of several hosts",
		ArgsUsage: "ID FILE...",
		Description: "Reads log files, or the standard input for -, and prints the lines of the job in the\n" +
			"order of their time, with the lines about roles and dependencies between them. Lines that\n" +
			"are not JSON are counted and passed over.\n\n" +
			"Example: limpetrelay explain 5c0e7a21d94b36f8 front-*.log",
		Action: func(_ context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			if len(args) < 2 {
				return fault.New(fault.Invalid, "explain needs a job's ID and log files", "see `limpetrelay explain --help`")
			}
			var s timeline
			for _, f := range args[1:] {
				if err := s.readFile(f); err != nil {
					return err
				}
			}
			return s.print(c.Root().Writer, args[0])
		},
	}
}

// story is the lines of several logs.
type timeline struct {
	lines      []logLine
	unreadable int
}

// logLine is one line of a log.
type logLine struct {
	at      time.Time
	host    string
	message string
	id      string
	fields  map[string]any
}

// context tells whether a line matters to every job.
func (l *logLine) concernsAllJobs() bool {
	switch l.message {
	case "role taken", "role lost", "role handed over", "dependency lost", "dependency regained", "start", "stop",
		"worker quarantined", "worker lost", "log lines dropped", "configuration in force":
		return true
	}
	return false
}

func (s *timeline) readFile(name string) error {
	if name == "-" {
		return s.read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return fault.Newf(fault.NotFound, "name a log file that can be read", "%v", err)
	}
	defer func() { _ = f.Close() }()
	return errors.Wrapf(s.read(f), "read %s", name)
}

// read takes the lines of one log. What stands before the first brace of a line is
// passed over, as tools put a time or a name there.
func (s *timeline) read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLineBytes)
	for sc.Scan() {
		b := sc.Bytes()
		if len(bytes.TrimSpace(b)) == 0 {
			continue
		}
		i := bytes.IndexByte(b, '{')
		fields := map[string]any{}
		if i < 0 || json.Unmarshal(b[i:], &fields) != nil {
			s.unreadable++
			continue
		}
		l := logLine{fields: fields}
		l.host, _ = fields["host"].(string)
		l.message, _ = fields["msg"].(string)
		l.id, _ = fields["id"].(string)
		text, _ := fields["time"].(string)
		if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
			l.at = at
		}
		s.lines = append(s.lines, l)
	}
	return sc.Err()
}

// print writes the story of a job.
func (s *timeline) print(w io.Writer, id string) error {
	slices.SortStableFunc(s.lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var matches []int
	for i := range s.lines {
		if s.lines[i].id == id {
			matches = append(matches, i)
		}
	}
	if len(matches) == 0 {
		return fault.Newf(fault.NotFound, "name the logs of all hosts, from before the job was sent",
			"no line in %d tells of job %s (%d lines could not be read)", len(s.lines), id, s.unreadable)
	}
	for i := matches[0]; i <= matches[len(matches)-1]; i++ {
		l := &s.lines[i]
		if l.id == id || l.concernsAllJobs() {
			if _, err := fmt.Fprintln(w, l.format()); err != nil {
				return errors.Wrap(err, "print")
			}
		}
	}
	_, err := fmt.Fprintf(w, "%d lines of the job; %d lines could not be read\n", len(matches), s.unreadable)
	return errors.Wrap(err, "print")
}

// text returns the line for a person.
func (l *logLine) format() string {
	var parts []string
	for k, v := range l.fields {
		switch k {
		case "time", "level", "msg", "host", "id":
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", k, v))
	}
	slices.SortFunc(parts, cmp.Compare)
	return fmt.Sprintf("%s %-20s %-24s %s", l.at.Format("15:04:05.000"), l.host, l.message, strings.Join(parts, " "))
}
