package main

import (
	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/fault"
)

// The errors of outcomes, which give the exit code.
var (
	errJobFailed       = errors.New("the job failed")
	errJobNotRun       = errors.New("the job did not run")
	errOutcomeUnknown  = errors.New("the job may have run")
	errNoOutcome       = errors.New("the job has no outcome yet")
	errInvariantBroken = errors.New("an invariant was broken")
)

// exitCodes is the text about exit codes in the help.
const exitCodeHelp = `Exit codes: 0 done, or the job completed; 1 a defect, or an invariant was broken;
2 invalid input; 3 a conflict or a refusal; 4 not found; 5 not run, nothing was done;
6 unknown, it may have run; 7 the job failed; 8 the job has no outcome yet.`

// exitCode returns the documented exit code of an error.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errJobFailed):
		return 7
	case errors.Is(err, errJobNotRun):
		return 5
	case errors.Is(err, errOutcomeUnknown):
		return 6
	case errors.Is(err, errNoOutcome):
		return 8
	case errors.Is(err, errInvariantBroken):
		return 1
	}
	var f *fault.Error
	if !errors.As(err, &f) {
		// The command line library's own errors are about its arguments.
		return 2
	}
	switch f.Kind {
	case fault.Invalid, fault.TooLarge, fault.Infeasible:
		return 2
	case fault.Conflict, fault.KeyReused, fault.Refused:
		return 3
	case fault.NotFound:
		return 4
	case fault.Unavailable, fault.Draining, fault.Overloaded:
		return 5
	case fault.Unknown, fault.Gap:
		return 6
	default:
		return 1
	}
}
