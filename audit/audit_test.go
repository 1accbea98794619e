package audit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/audit"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// ran returns a run of a task between two times, in seconds after start.
func ran(task, echo string, from, to int, outcome upstream.Outcome) standin.Interval {
	return standin.Interval{
		Task: task, Echo: echo, How: outcome,
		Start: start.Add(time.Duration(from) * time.Second), End: start.Add(time.Duration(to) * time.Second),
	}
}

// TestCheckFinds checks that each kind of violation is reported, and no others.
func TestCheckFinds(t *testing.T) {
	gang := job.Spec{Members: 2, Key: "k"}
	for _, c := range []struct {
		name    string
		history audit.RequestHistory
		runs    []standin.Interval
		want    string
	}{
		{"nothing", audit.RequestHistory{Echo: "a", Results: []job.Result{job.NotRun}}, nil, ""},
		{"notRun and ran", audit.RequestHistory{Echo: "a", Results: []job.Result{job.NotRun}},
			[]standin.Interval{ran("j/1/0", "a", 0, 1, upstream.Completed)}, "was reported as notRun but ran"},
		{"completed and did not", audit.RequestHistory{Echo: "a", Results: []job.Result{job.Completed}},
			[]standin.Interval{ran("j/1/0", "a", 0, 1, upstream.Failed)}, "0 of 1 members completed"},
		{"once and twice", audit.RequestHistory{Echo: "a", Spec: job.Spec{AtMostOnce: true}},
			[]standin.Interval{ran("j/1/0", "a", 0, 1, upstream.Failed), ran("j/2/0", "a", 2, 3, upstream.Completed)}, "ran 2 times"},
		{"two outcomes", audit.RequestHistory{Echo: "a", Spec: job.Spec{Key: "k"}, Results: []job.Result{job.Failed, job.Unknown, job.NotRun}},
			nil, "was reported as [failed notRun]"},
		{"another's answer", audit.RequestHistory{Echo: "a", Output: "b"}, nil, `received the output "b"`},
		{"gang starts in part", audit.RequestHistory{Echo: "a", Spec: gang},
			[]standin.Interval{ran("j/1/0", "a", 0, 20, upstream.Stopped)}, "ran in part for 20s"},
		{"gang goes on in part", audit.RequestHistory{Echo: "a", Spec: gang},
			[]standin.Interval{ran("j/1/0", "a", 0, 5, upstream.Failed), ran("j/1/1", "a", 0, 20, upstream.Stopped)}, "ran in part for 15s"},
		{"gang ends one by one", audit.RequestHistory{Echo: "a", Spec: gang},
			[]standin.Interval{ran("j/1/0", "a", 0, 5, upstream.Completed), ran("j/1/1", "a", 0, 20, upstream.Completed)}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := audit.Check([]*audit.RequestHistory{&c.history}, c.runs, 9*time.Second)
			if c.want == "" {
				require.Empty(t, r.Violations)
				return
			}
			require.Len(t, r.Violations, 1)
			require.Contains(t, r.Violations[0], c.want)
		})
	}
}

func ExampleCheck() {
	histories := []*audit.RequestHistory{{Echo: "bill", Spec: job.Spec{AtMostOnce: true}, Results: []job.Result{job.Completed}}}
	runs := []standin.Interval{ran("j/1/0", "bill", 0, 1, upstream.Completed)}
	fmt.Println(audit.Check(histories, runs, time.Second).Violations)
	// Output: []
}
