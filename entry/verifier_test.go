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
type verifier struct {
	sim        *simulation
	callers    *callers
	violations []string
	runs       []standin.Interval
}

// run judges everything.
func (j *verifier) verify() {
	for _, wk := range j.sim.workers {
		j.runs = append(j.runs, wk.History()...)
	}
	report := audit.Check(j.callers.told, j.runs, partialBound)
	for _, b := range report.Broken {
		j.reportf("%s", b)
	}
	j.checkVersions()
	j.checkReplicas()
	j.checkQuiet()
}

// sayf notes a fault.
func (j *verifier) reportf(format string, args ...any) {
	if len(j.violations) < 20 {
		j.violations = append(j.violations, fmt.Sprintf(format, args...))
	}
}

// versions judges that every accepted patch got a number of its own and none
// was lost.
func (j *verifier) checkVersions() {
	vs := slices.Clone(j.callers.versions)
	slices.Sort(vs)
	for i := 1; i < len(vs); i++ {
		if vs[i] == vs[i-1] {
			j.reportf("two patches yielded version %d", vs[i])
		}
	}
	for _, n := range j.sim.hostNames() {
		if got := j.sim.host(n).View().ConfigVersion; len(vs) > 0 && got < vs[len(vs)-1] {
			j.reportf("host %s is at version %d after %d was accepted", n, got, vs[len(vs)-1])
		}
	}
}

// replicas judges that all hosts have the same ledger.
func (j *verifier) checkReplicas() {
	var first []byte
	var next uint64
	for _, n := range j.sim.hostNames() {
		j.sim.host(n).inspect(j.sim.ctx, func(s *dispatch.State) {
			b, err := s.Ledger.Snapshot()
			switch {
			case err != nil:
				j.reportf("host %s: %v", n, err)
			case first == nil:
				first, next = b, s.Ledger.Next
			case s.Ledger.Next != next:
				j.reportf("host %s is at offset %d and another at %d", n, s.Ledger.Next, next)
			case !bytes.Equal(b, first):
				j.reportf("host %s has another ledger", n)
			}
		})
	}
}

// quiet judges that nothing is left open or running.
func (j *verifier) checkQuiet() {
	for _, n := range j.sim.hostNames() {
		if v := j.sim.host(n).View(); !v.Ready || v.JobsQueued+v.JobsPlaced > 0 {
			j.reportf("host %s is left ready=%v (%s) with %d queued and %d placed jobs", n, v.Ready, v.NotReadyReason, v.JobsQueued, v.JobsPlaced)
			j.sim.host(n).inspect(j.sim.ctx, func(s *dispatch.State) {
				if s.IsPlacer() {
					j.reportf("placer %s drives %+v", n, s.Attempts())
				}
			})
		}
	}
	for _, i := range j.runs {
		if i.End.IsZero() {
			j.reportf("task %s still runs", i.Task)
		}
	}
}

// summary counts what callers were told and what ran.
func (j *verifier) summary() string {
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
