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

// maxLogLineBytes is the length of the longest log line that can be read.
const maxLogLineBytes = 1 << 20

// explainCommand returns the command `limpetrelay explain`.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines of one job, merged from several hosts",
		ArgsUsage: "ID FILE...",
		Description: "Reads log files, or standard input for -, and prints the lines of the job in order of\n" +
			"time, together with the lines in between about roles, dependencies, workers, evacuations\n" +
			"and the configuration. Lines that are not JSON are counted and skipped.\n\n" +
			"Example: limpetrelay explain 5c0e7a21d94b36f8 front-*.log",
		Action: func(_ context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			if len(args) < 2 {
				return fault.New(fault.Invalid, "explain needs a job's ID and log files", "see `limpetrelay explain --help`")
			}
			var tl timeline
			for _, f := range args[1:] {
				if err := tl.readFile(f); err != nil {
					return err
				}
			}
			return tl.print(c.Root().Writer, args[0])
		},
	}
}

// timeline holds the lines of several logs. print sorts them by time.
type timeline struct {
	lines []logLine
	// unreadable counts the lines that are not JSON.
	unreadable int
}

// logLine is one line of a log.
type logLine struct {
	// at is zero when the line has no valid time.
	at      time.Time
	host    string
	message string
	// id is the ID of the job, empty when the line is not about one job.
	id     string
	fields map[string]any
}

// concernsAllJobs reports whether the line is printed for every job: changes of
// role, dependencies, process, workers, configuration and evacuations, and dropped log lines.
// The messages must match those that hosts log, including hosts of older builds.
func (l *logLine) concernsAllJobs() bool {
	switch l.message {
	case "role taken", "role lost", "role handed over", "dependency lost", "dependency regained", "start", "stop",
		"worker quarantined", "worker lost", "log lines dropped", "configuration in force",
		"data centre evacuated", "evacuation ended", "evacuation cannot be read":
		return true
	}
	return false
}

func (tl *timeline) readFile(name string) error {
	if name == "-" {
		return tl.read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return fault.Newf(fault.NotFound, "give the path of a readable log file", "%v", err)
	}
	defer func() { _ = f.Close() }()
	return errors.Wrapf(tl.read(f), "read %s", name)
}

// read appends the lines of one log. It ignores text before the first brace of a
// line because log tools prepend a timestamp or a name.
func (tl *timeline) read(r io.Reader) error {
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
			tl.unreadable++
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
		tl.lines = append(tl.lines, l)
	}
	return sc.Err()
}

// print writes the lines of a job and, between its first and last line, the lines
// that concern all jobs. It returns a fault of kind NotFound when there are none.
func (tl *timeline) print(w io.Writer, id string) error {
	slices.SortStableFunc(tl.lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var matches []int
	for i := range tl.lines {
		if tl.lines[i].id == id {
			matches = append(matches, i)
		}
	}
	if len(matches) == 0 {
		return fault.Newf(fault.NotFound, "pass the logs of all hosts, starting before the job was submitted",
			"none of %d lines mentions job %s (%d lines could not be read)", len(tl.lines), id, tl.unreadable)
	}
	for i := matches[0]; i <= matches[len(matches)-1]; i++ {
		l := &tl.lines[i]
		if l.id == id || l.concernsAllJobs() {
			if _, err := fmt.Fprintln(w, l.format()); err != nil {
				return errors.Wrap(err, "print")
			}
		}
	}
	_, err := fmt.Fprintf(w, "%d lines of the job; %d lines could not be read\n", len(matches), tl.unreadable)
	return errors.Wrap(err, "print")
}

// format returns the line as text: time, host, message and the other fields in
// alphabetical order.
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
