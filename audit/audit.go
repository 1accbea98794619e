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

// RequestHistory is one request and the responses that its caller received.
type RequestHistory struct {
	// Echo identifies the request in the workers' histories. The output of its tasks
	// starts with it.
	Echo string
	Spec job.Spec
	// Job is the job's ID; empty for small requests.
	Job string
	// Results lists every result that the caller received, in order.
	Results []job.Result
	// Output is the job's output as the caller received it; empty for none.
	Output string
	// Errors lists the errors that the caller received. They only appear in
	// violations.
	Errors []string
}

// Report is the result of a check.
type Report struct {
	// Violations describes the checks that failed.
	Violations []string
	// Checked is the number of checks made.
	Checked int
}

// Check checks the history of every request against runs, the runs of all workers.
// maxPartial is the longest time that a gang may run with only some of its members,
// either before all have started or after one was lost.
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
		r.checkf(request.Output == "" || strings.HasPrefix(request.Output, request.Echo), "request %s received the output %.60q", request.Echo, request.Output)
	}
	return *r
}

// checkf counts one check and, if ok is false, records a violation.
func (r *Report) checkf(ok bool, format string, args ...any) {
	r.Checked++
	if !ok {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checkAtMostOnce checks that each member of an at-most-once request ran at most
// once.
func (r *Report) checkAtMostOnce(request *RequestHistory, runs []standin.Interval) {
	if !request.Spec.AtMostOnce {
		return
	}
	perMember := map[string]int{}
	for _, run := range runs {
		perMember[run.Task[strings.LastIndexByte(run.Task, '/')+1:]]++
	}
	for member, n := range perMember {
		r.checkf(n <= 1, "at-most-once request %s ran %d times as member %s: %v", request.Echo, n, member, runs)
	}
}

// checkResults checks that a request reported as not run did not run, and that
// all members of one reported as completed completed.
func (r *Report) checkResults(request *RequestHistory, runs []standin.Interval) {
	for _, res := range request.Results {
		switch res {
		case job.NotRun:
			r.checkf(len(runs) == 0, "request %s was reported as notRun but ran: %v %v", request.Echo, runs, request.Errors)
		case job.Completed:
			completed := map[string]bool{}
			for _, run := range runs {
				if run.How == upstream.Completed {
					completed[run.Task] = true
				}
			}
			r.checkf(len(completed) >= gangSize(request), "request %s was reported as completed but %d of %d members completed", request.Echo, len(completed), gangSize(request))
		}
	}
}

// checkSameOutcome checks that all definite results reported for a request key
// are the same. Unknown is not definite.
func (r *Report) checkSameOutcome(request *RequestHistory) {
	if request.Spec.Key == "" {
		return
	}
	definite := slices.DeleteFunc(slices.Clone(request.Results), func(res job.Result) bool { return res == job.Unknown })
	r.checkf(len(slices.Compact(definite)) <= 1, "request %s was reported as %v", request.Echo, definite)
}

// checkGang checks that no attempt of a gang ran with only some of its members for
// longer than maxPartial.
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

// PartialRunTime returns the longest time during which some of the n members of an
// attempt ran while others had not started yet or had ended without completing.
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
	// If some member never started, the gang is partial until its last run ends.
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

// gangSize returns the number of members, which is 1 for a single task.
func gangSize(request *RequestHistory) int { return max(1, request.Spec.Members) }
