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
func Check(requests []*RequestHistory, runs []standin.Interval, maxPartial time.Duration) Report {
	r := &Report{}
	byEcho := map[string][]standin.Interval{}
	for _, run := range runs {
		byEcho[run.Echo] = append(byEcho[run.Echo], run)
	}
	for _, request := range requests {
		requestRuns := byEcho[request.Echo]
		r.checkAtMostOnce(request, requestRuns)
		r.checkResults(request, requestRuns)
		r.checkSameOutcome(request)
		r.checkGang(request, requestRuns, maxPartial)
		r.checkf(request.Output == "" || strings.HasPrefix(request.Output, request.Echo), "request %s got the answer %.60q", request.Echo, request.Output)
	}
	return *r
}

// mustf notes one check.
func (r *Report) checkf(ok bool, format string, args ...any) {
	r.Checked++
	if !ok {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// once judges that a once-only request ran at most once.
func (r *Report) checkAtMostOnce(request *RequestHistory, runs []standin.Interval) {
	if !request.Spec.AtMostOnce {
		return
	}
	perMember := map[string]int{}
	for _, run := range runs {
		perMember[run.Task[strings.LastIndexByte(run.Task, '/')+1:]]++
	}
	for member, n := range perMember {
		r.checkf(n <= 1, "once-only request %s ran %d times as member %s: %v", request.Echo, n, member, runs)
	}
}

// results judges every result that was told.
func (r *Report) checkResults(request *RequestHistory, runs []standin.Interval) {
	for _, res := range request.Results {
		switch res {
		case job.NotRun:
			r.checkf(len(runs) == 0, "request %s was told notRun and ran: %v %v", request.Echo, runs, request.Errors)
		case job.Completed:
			completed := map[string]bool{}
			for _, run := range runs {
				if run.How == upstream.Completed {
					completed[run.Task] = true
				}
			}
			r.checkf(len(completed) >= gangSize(request), "request %s was told completed and %d of %d members did", request.Echo, len(completed), gangSize(request))
		}
	}
}

// sameOutcome judges that a key always gave the same definite outcome.
func (r *Report) checkSameOutcome(request *RequestHistory) {
	if request.Spec.Key == "" {
		return
	}
	definite := slices.DeleteFunc(slices.Clone(request.Results), func(res job.Result) bool { return res == job.Unknown })
	r.checkf(len(slices.Compact(definite)) <= 1, "request %s was told %v", request.Echo, definite)
}

// gang judges that no attempt of a gang ran in part for longer than bound.
func (r *Report) checkGang(request *RequestHistory, runs []standin.Interval, maxPartial time.Duration) {
	if gangSize(request) < 2 {
		return
	}
	byAttempt := map[string][]standin.Interval{}
	for _, run := range runs {
		attempt := run.Task[:strings.LastIndexByte(run.Task, '/')]
		byAttempt[attempt] = append(byAttempt[attempt], run)
	}
	for attempt, attemptRuns := range byAttempt {
		d := PartialRunTime(attemptRuns, gangSize(request))
		r.checkf(d <= maxPartial, "gang %s ran in part for %s: %v", attempt, d, attemptRuns)
	}
}

// PartialRunTime returns the longest time during which some but not all of n members
// of an attempt ran although no missing one had completed.
func PartialRunTime(runs []standin.Interval, n int) time.Duration {
	var lastStart, firstLoss, lastEnd time.Time
	for _, run := range runs {
		if run.Start.After(lastStart) {
			lastStart = run.Start
		}
		if run.How != upstream.Completed && !run.End.IsZero() && (firstLoss.IsZero() || run.End.Before(firstLoss)) {
			firstLoss = run.End
		}
		if run.End.After(lastEnd) {
			lastEnd = run.End
		}
	}
	partialUntil := lastStart
	if len(runs) < n {
		partialUntil = lastEnd
	}
	var longest time.Duration
	for _, run := range runs {
		longest = max(longest, partialUntil.Sub(run.Start))
		if !firstLoss.IsZero() {
			longest = max(longest, run.End.Sub(firstLoss))
		}
	}
	return longest
}

// members returns the size of the gang.
func gangSize(request *RequestHistory) int { return max(1, request.Spec.Members) }
