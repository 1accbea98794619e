package entry

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/limpetrelay/limpetrelay/audit"
	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/standin"
)

// partialBound is the longest time that a broken gang's rest may run: the gang
// lease of 6 s, which is no longer renewed 3 s after the last word of the lost
// member.
const partialBound = 9 * time.Second

// judge compares what callers were told with what the workers ran, and the
// hosts with each other.
type judge struct {
	w       *world
	callers *callers
	faults  []string
	runs    []standin.Interval
}

// run judges everything.
func (j *judge) run() {
	for _, wk := range j.w.workers {
		j.runs = append(j.runs, wk.History()...)
	}
	report := audit.Check(j.callers.told, j.runs, partialBound)
	for _, b := range report.Broken {
		j.sayf("%s", b)
	}
	j.versions()
	j.replicas()
	j.quiet()
}

// sayf notes a fault.
func (j *judge) sayf(format string, args ...any) {
	if len(j.faults) < 20 {
		j.faults = append(j.faults, fmt.Sprintf(format, args...))
	}
}

// versions judges that every accepted patch got a number of its own and none
// was lost.
func (j *judge) versions() {
	vs := slices.Clone(j.callers.versions)
	slices.Sort(vs)
	for i := 1; i < len(vs); i++ {
		if vs[i] == vs[i-1] {
			j.sayf("two patches yielded version %d", vs[i])
		}
	}
	for _, n := range j.w.hostNames() {
		if got := j.w.host(n).View().ConfigVersion; len(vs) > 0 && got < vs[len(vs)-1] {
			j.sayf("host %s is at version %d after %d was accepted", n, got, vs[len(vs)-1])
		}
	}
}

// replicas judges that all hosts have the same ledger.
func (j *judge) replicas() {
	var first []byte
	var next uint64
	for _, n := range j.w.hostNames() {
		j.w.host(n).inspect(j.w.ctx, func(s *dispatch.State) {
			b, err := s.Ledger.Snapshot()
			switch {
			case err != nil:
				j.sayf("host %s: %v", n, err)
			case first == nil:
				first, next = b, s.Ledger.Next
			case s.Ledger.Next != next:
				j.sayf("host %s is at offset %d and another at %d", n, s.Ledger.Next, next)
			case !bytes.Equal(b, first):
				j.sayf("host %s has another ledger", n)
			}
		})
	}
}

// quiet judges that nothing is left open or running.
func (j *judge) quiet() {
	for _, n := range j.w.hostNames() {
		if v := j.w.host(n).View(); !v.Ready || v.JobsQueued+v.JobsPlaced > 0 {
			j.sayf("host %s is left ready=%v (%s) with %d queued and %d placed jobs", n, v.Ready, v.NotReadyReason, v.JobsQueued, v.JobsPlaced)
			j.w.host(n).inspect(j.w.ctx, func(s *dispatch.State) {
				if s.IsPlacer() {
					j.sayf("placer %s drives %+v", n, s.Attempts())
				}
			})
		}
	}
	for _, i := range j.runs {
		if i.End.IsZero() {
			j.sayf("task %s still runs", i.Task)
		}
	}
}

// summary counts what callers were told and what ran.
func (j *judge) summary() string {
	results := map[job.Result]int{}
	open, gangs := 0, 0
	for _, t := range j.callers.told {
		if len(t.Results) == 0 {
			open++
			continue
		}
		last := t.Results[len(t.Results)-1]
		results[last]++
		if t.Spec.Members > 1 && last == job.Completed {
			gangs++
		}
	}
	return fmt.Sprintf("%d requests: %v, %d without outcome, %d gangs completed, %d runs on workers, %d patches",
		len(j.callers.told), results, open, gangs, len(j.runs), len(j.callers.versions))
}
