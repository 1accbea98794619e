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

// partialBound is the longest time that the other members of a gang may run after
// one is lost: the gang lease of 6 s, whose renewal stops 3 s after the last report
// of the lost member.
const partialBound = 9 * time.Second

// verifier compares the replies to callers with what the workers ran, and the states
// of the hosts with each other.
type verifier struct {
	sim        *simulation
	callers    *callers
	violations []string
	runs       []standin.Interval
}

// verify runs all checks and records the violations.
func (v *verifier) verify() {
	for _, wk := range v.sim.workers {
		v.runs = append(v.runs, wk.History()...)
	}
	report := audit.Check(v.callers.requests, v.runs, partialBound)
	for _, b := range report.Violations {
		v.reportf("%s", b)
	}
	v.checkVersions()
	v.checkReplicas()
	v.checkQuiet()
}

// reportf records a violation; at most 20 are kept.
func (v *verifier) reportf(format string, args ...any) {
	if len(v.violations) < 20 {
		v.violations = append(v.violations, fmt.Sprintf(format, args...))
	}
}

// checkVersions checks that every accepted patch created a version of its own and
// that no host has lost the last one.
func (v *verifier) checkVersions() {
	vs := slices.Clone(v.callers.versions)
	slices.Sort(vs)
	for i := 1; i < len(vs); i++ {
		if vs[i] == vs[i-1] {
			v.reportf("two patches created version %d", vs[i])
		}
	}
	for _, n := range v.sim.hostNames() {
		if got := v.sim.host(n).View().Version; len(vs) > 0 && got < vs[len(vs)-1] {
			v.reportf("host %s is at version %d after %d was accepted", n, got, vs[len(vs)-1])
		}
	}
}

// checkReplicas checks that all hosts have the same ledger.
func (v *verifier) checkReplicas() {
	var first []byte
	var next uint64
	for _, n := range v.sim.hostNames() {
		v.sim.host(n).inspect(v.sim.ctx, func(s *dispatch.State) {
			b, err := s.Ledger.Snapshot()
			switch {
			case err != nil:
				v.reportf("host %s: %v", n, err)
			case first == nil:
				first, next = b, s.Ledger.Next
			case s.Ledger.Next != next:
				v.reportf("host %s is at offset %d and another at %d", n, s.Ledger.Next, next)
			case !bytes.Equal(b, first):
				v.reportf("the ledger of host %s differs", n)
			}
		})
	}
}

// checkQuiet checks that all hosts are ready, no job is open and no task is running.
func (v *verifier) checkQuiet() {
	for _, n := range v.sim.hostNames() {
		if view := v.sim.host(n).View(); !view.Ready || view.Queued+view.Placed > 0 {
			v.reportf("host %s ended with ready=%v (%s), %d queued and %d placed jobs", n, view.Ready, view.Stuck, view.Queued, view.Placed)
			v.sim.host(n).inspect(v.sim.ctx, func(s *dispatch.State) {
				if s.IsPlacer() {
					v.reportf("placer %s has open attempts %+v", n, s.Attempts())
				}
			})
		}
	}
	for _, i := range v.runs {
		if i.End.IsZero() {
			v.reportf("task %s still runs", i.Task)
		}
	}
}

// summary returns the numbers of requests by result, of runs and of patches.
func (v *verifier) summary() string {
	results := map[job.Result]int{}
	open, gangs := 0, 0
	for _, req := range v.callers.requests {
		if len(req.Results) == 0 {
			open++
			continue
		}
		last := req.Results[len(req.Results)-1]
		results[last]++
		if req.Spec.Members > 1 && last == job.Completed {
			gangs++
		}
	}
	return fmt.Sprintf("%d requests: %v, %d without outcome, %d gangs completed, %d runs on workers, %d patches",
		len(v.callers.requests), results, open, gangs, len(v.runs), len(v.callers.versions))
}
