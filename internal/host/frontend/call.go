package frontend

import (
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Verb is what a caller wants.
type Verb string

// The verbs.
const (
	Submit Verb = "submit"
	Ask    Verb = "ask"
	Cancel Verb = "cancel"
)

// Call is a caller's request.
type Call struct {
	Verb Verb
	// Host and Path select the queue and the job.
	Host, Path string
	// Key is empty when the caller sent none.
	Key string
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
	// Decode reads the job of a submission. It fails with fault.Invalid or
	// fault.TooLarge.
	Decode func(maxBytes int) (jobspec.Spec, error)
	// ValidID reports whether a name can be a job's.
	ValidID func(string) bool
}

// Outcome is the kind of an answer.
type Outcome string

// The outcomes.
const (
	// Done means that a submission or a cancellation is recorded.
	Done Outcome = "done"
	// Told means that Answer.State is set, and Counted that Answer.Waiting is.
	Told    Outcome = "told"
	Counted Outcome = "counted"
	// NoKey means that the key is unknown.
	NoKey Outcome = "noKey"
	// NoQueue means that there is no such queue.
	NoQueue Outcome = "noQueue"
	// NoJob means that there is no such job.
	NoJob Outcome = "noJob"
	// NotRun means that the request has not run and never will.
	NotRun Outcome = "notRun"
	// NotKnown means that the request may yet run.
	NotKnown Outcome = "notKnown"
	// Malformed, TooLarge and KeyReused refuse the request for what it says.
	Malformed Outcome = "malformed"
	TooLarge  Outcome = "tooLarge"
	KeyReused Outcome = "keyReused"
)

// Answer is the final answer to a call.
type Answer struct {
	Outcome Outcome
	State   jobspec.State
	Waiting int
	// Message says why, for a person.
	Message string
	// Again is when the caller may come back; 0 for nothing said.
	Again time.Duration
	// Close asks the caller to use another connection, since the host shuts down.
	Close bool
}
