package main

import (
	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/fault"
)

// Errors that exitCode maps to exit codes of their own.
var (
	errJobFailed       = errors.New("the job failed")
	errJobNotRun       = errors.New("the job did not run")
	errOutcomeUnknown  = errors.New("the job may have run")
	errNoOutcome       = errors.New("the job has no outcome yet")
	errInvariantBroken = errors.New("an invariant was violated")
)

// exitCodeHelp documents the exit codes in the help texts.
const exitCodeHelp = `Exit codes: 0 done, or the job completed; 1 a bug, or an invariant was violated;
2 invalid input; 3 a conflict or a refusal; 4 not found; 5 not run, nothing was done;
6 unknown, it may have run; 7 the job failed; 8 the job has no outcome yet.`

// exitCode returns the exit code of a non-nil error, as documented in exitCodeHelp.
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
		// Errors that are not faults come from the command-line library and concern
		// the arguments.
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
