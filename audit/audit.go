package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// RequestHistory is what a caller was told about one request.
type RequestHistory struct {
	// Echo names the request in the workers' histories.
	Echo string
	Spec job.Spec
	// Job is the job's ID, empty for small requests.
	Job string
	// Results lists every result told, in order.
	Results []job.Result
	// Output is the answer, empty for none.
	Output string
	// Errors lists the refusals, for the messages.
	Errors []string
}

// Report is the result of a check.
type Report struct {
	// Violations lists the broken promises.
	Violations []string
	// Checked is the number of promises checked.
	Checked int
}

// Check judges all requests. partialBound is the longest time that a gang may
// run with only part of its members after one was lost or before all started.
func Check(told []*RequestHistory, runs []standin.Interval, partialBound time.Duration) Report {
	r := &Report{}
	byEcho := map[string][]standin.Interval{}
	for _, i := range runs {
		byEcho[i.Echo] = append(byEcho[i.Echo], i)
	}
	for _, t := range told {
		mine := byEcho[t.Echo]
		r.once(t, mine)
		r.results(t, mine)
		r.sameOutcome(t)
		r.gang(t, mine, partialBound)
		r.mustf(t.Output == "" || strings.HasPrefix(t.Output, t.Echo), "request %s got the answer %.60q", t.Echo, t.Output)
	}
	return *r
}

// mustf notes one check.
func (r *Report) mustf(ok bool, format string, args ...any) {
	r.Checked++
	if !ok {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// once judges that a once-only request ran at most once.
func (r *Report) once(t *RequestHistory, runs []standin.Interval) {
	if !t.Spec.AtMostOnce {
		return
	}
	perMember := map[string]int{}
	for _, i := range runs {
		perMember[i.Task[strings.LastIndexByte(i.Task, '/')+1:]]++
	}
	for m, n := range perMember {
		r.mustf(n <= 1, "once-only request %s ran %d times as member %s: %v", t.Echo, n, m, runs)
	}
}

// results judges every result that was told.
func (r *Report) results(t *RequestHistory, runs []standin.Interval) {
	for _, res := range t.Results {
		switch res {
		case job.NotRun:
			r.mustf(len(runs) == 0, "request %s was told notRun and ran: %v %v", t.Echo, runs, t.Errors)
		case job.Completed:
			done := map[string]bool{}
			for _, i := range runs {
				if i.How == upstream.Completed {
					done[i.Task] = true
				}
			}
			r.mustf(len(done) >= members(t), "request %s was told completed and %d of %d members did", t.Echo, len(done), members(t))
		}
	}
}

// sameOutcome judges that a key always gave the same definite outcome.
func (r *Report) sameOutcome(t *RequestHistory) {
	if t.Spec.Key == "" {
		return
	}
	definite := slices.DeleteFunc(slices.Clone(t.Results), func(res job.Result) bool { return res == job.Unknown })
	r.mustf(len(slices.Compact(definite)) <= 1, "request %s was told %v", t.Echo, definite)
}

// gang judges that no attempt of a gang ran in part for longer than bound.
func (r *Report) gang(t *RequestHistory, runs []standin.Interval, bound time.Duration) {
	if members(t) < 2 {
		return
	}
	byAttempt := map[string][]standin.Interval{}
	for _, i := range runs {
		a := i.Task[:strings.LastIndexByte(i.Task, '/')]
		byAttempt[a] = append(byAttempt[a], i)
	}
	for a, is := range byAttempt {
		d := PartialRunTime(is, members(t))
		r.mustf(d <= bound, "gang %s ran in part for %s: %v", a, d, is)
	}
}

// PartialRunTime returns the longest time during which some but not all of n members
// of an attempt ran although no missing one had completed.
func PartialRunTime(runs []standin.Interval, n int) time.Duration {
	var lastStart, firstLoss, lastEnd time.Time
	for _, i := range runs {
		if i.Start.After(lastStart) {
			lastStart = i.Start
		}
		if i.How != upstream.Completed && !i.End.IsZero() && (firstLoss.IsZero() || i.End.Before(firstLoss)) {
			firstLoss = i.End
		}
		if i.End.After(lastEnd) {
			lastEnd = i.End
		}
	}
	whole := lastStart
	if len(runs) < n {
		whole = lastEnd
	}
	var worst time.Duration
	for _, i := range runs {
		worst = max(worst, whole.Sub(i.Start))
		if !firstLoss.IsZero() {
			worst = max(worst, i.End.Sub(firstLoss))
		}
	}
	return worst
}

// members returns the size of the gang.
func members(t *RequestHistory) int { return max(1, t.Spec.Members) }
