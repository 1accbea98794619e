package entry

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
)

var (
	standinNoFaults = standin.LogFaults{}
	noWorkerFaults  = standin.WorkerFaults{}
)

// partialBound is the longest time that a broken gang's rest may run: the gang
// lease of 6 s, which is no longer renewed 3 s after the last word of the lost
// member.
const partialBound = 9 * time.Second

// judge compares what callers were told with what the workers ran.
type judge struct {
	w       *world
	callers *callers
	faults  []string
	runs    map[string][]standin.Interval
}

// run judges everything.
func (j *judge) run() {
	j.collect()
	for _, t := range j.callers.told {
		j.request(t)
	}
	j.gangs()
	j.versions()
	j.replicas()
	j.quiet()
}

// say notes a fault.
func (j *judge) say(format string, args ...any) {
	if len(j.faults) < 20 {
		j.faults = append(j.faults, fmt.Sprintf(format, args...))
	}
}

// collect gathers the workers' histories by echo.
func (j *judge) collect() {
	j.runs = map[string][]standin.Interval{}
	for _, wk := range j.w.workers {
		for _, i := range wk.History() {
			j.runs[i.Echo] = append(j.runs[i.Echo], i)
		}
	}
}

// request judges one request.
func (j *judge) request(t *told) {
	runs := j.runs[t.echo]
	if t.spec.Once {
		perMember := map[string]int{}
		for _, r := range runs {
			perMember[r.Task[strings.LastIndexByte(r.Task, '/'):]]++
		}
		for m, n := range perMember {
			if n > 1 {
				j.say("once-only request %s ran %d times as member %s: %v", t.echo, n, m, runs)
			}
		}
	}
	for _, res := range t.results {
		switch res {
		case job.NotRun:
			if len(runs) > 0 {
				j.say("request %s was told notRun and ran: %v %v", t.echo, runs, t.errors)
			}
		case job.Completed:
			j.completed(t, runs)
		}
	}
	if t.output != "" && t.output != t.echo {
		j.say("request %s got the answer %q", t.echo, t.output)
	}
	definite := slices.DeleteFunc(slices.Clone(t.results), func(r job.Result) bool { return r == job.Unknown })
	if t.spec.Key != "" && len(slices.Compact(definite)) > 1 {
		j.say("request %s was told %v", t.echo, definite)
	}
}

// completed judges a request that was told to have completed.
func (j *judge) completed(t *told, runs []standin.Interval) {
	done := map[string]bool{}
	for _, r := range runs {
		if r.How == upstream.Completed {
			done[r.Task] = true
		}
	}
	if len(done) < max(1, t.spec.Members) {
		j.say("request %s was told completed and %d of %d members did", t.echo, len(done), max(1, t.spec.Members))
	}
}

// gangs judges that no gang ran with only part of its members for longer than
// the bound.
func (j *judge) gangs() {
	for _, t := range j.callers.told {
		if t.spec.Members < 2 {
			continue
		}
		byAttempt := map[string][]standin.Interval{}
		for _, r := range j.runs[t.echo] {
			a := r.Task[:strings.LastIndexByte(r.Task, '/')]
			byAttempt[a] = append(byAttempt[a], r)
		}
		for a, runs := range byAttempt {
			if d := partial(runs, t.spec.Members); d > partialBound {
				j.say("gang %s ran in part for %s: %v", a, d, runs)
			}
		}
	}
}

// partial returns the longest time during which some but not all of n members
// ran although a missing one had not completed.
func partial(runs []standin.Interval, n int) time.Duration {
	var lastStart, firstLoss, lastEnd time.Time
	started := len(runs) == n
	for _, r := range runs {
		if r.Start.After(lastStart) {
			lastStart = r.Start
		}
		if r.How != upstream.Completed && !r.End.IsZero() && (firstLoss.IsZero() || r.End.Before(firstLoss)) {
			firstLoss = r.End
		}
		if r.End.After(lastEnd) {
			lastEnd = r.End
		}
	}
	var worst time.Duration
	for _, r := range runs {
		whole := lastStart
		if !started {
			whole = lastEnd
		}
		worst = max(worst, whole.Sub(r.Start))
		if !firstLoss.IsZero() {
			worst = max(worst, r.End.Sub(firstLoss))
		}
	}
	return worst
}

// versions judges that every accepted patch got a number of its own and none
// was lost.
func (j *judge) versions() {
	vs := slices.Clone(j.callers.versions)
	slices.Sort(vs)
	for i := 1; i < len(vs); i++ {
		if vs[i] == vs[i-1] {
			j.say("two patches yielded version %d", vs[i])
		}
	}
	for _, n := range j.w.hostNames() {
		if got := j.w.host(n).View().Version; len(vs) > 0 && got < vs[len(vs)-1] {
			j.say("host %s is at version %d after %d was accepted", n, got, vs[len(vs)-1])
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
				j.say("host %s: %v", n, err)
			case first == nil:
				first, next = b, s.Ledger.Next
			case s.Ledger.Next != next:
				j.say("host %s is at offset %d and another at %d", n, s.Ledger.Next, next)
			case !bytes.Equal(b, first):
				j.say("host %s has another ledger", n)
			}
		})
	}
}

// quiet judges that nothing is left open or running.
func (j *judge) quiet() {
	for _, n := range j.w.hostNames() {
		if v := j.w.host(n).View(); !v.Ready || v.Queued+v.Placed > 0 {
			j.say("host %s is left ready=%v (%s) with %d queued and %d placed jobs", n, v.Ready, v.Stuck, v.Queued, v.Placed)
			j.w.host(n).inspect(j.w.ctx, func(s *dispatch.State) {
				if s.Placer() {
					j.say("placer %s drives %+v", n, s.Attempts())
				}
			})
		}
	}
	for name, wk := range j.w.workers {
		for _, i := range wk.History() {
			if i.End.IsZero() {
				j.say("task %s still runs on %s", i.Task, name)
			}
		}
	}
}

// summary counts what callers were told and what ran.
func (j *judge) summary() string {
	results := map[job.Result]int{}
	open, runs, gangs := 0, 0, 0
	for _, t := range j.callers.told {
		if len(t.results) == 0 {
			open++
			continue
		}
		results[t.results[len(t.results)-1]]++
		if t.spec.Members > 1 && t.results[len(t.results)-1] == job.Completed {
			gangs++
		}
	}
	for _, r := range j.runs {
		runs += len(r)
	}
	return fmt.Sprintf("%d requests: %v, %d without outcome, %d gangs completed, %d runs on workers, %d patches",
		len(j.callers.told), results, open, gangs, runs, len(j.callers.versions))
}
