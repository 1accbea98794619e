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
	Query  Verb = "ask"
	Cancel Verb = "cancel"
)

// Request is a caller's request.
type Request struct {
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
	// Recorded means that a submission or a cancellation is recorded.
	Recorded Outcome = "done"
	// StateReported means that Response.State is set, and CountReported that
	// Response.Queued is.
	StateReported Outcome = "told"
	CountReported Outcome = "counted"
	// UnknownKey means that the key is unknown.
	UnknownKey Outcome = "noKey"
	// UnknownQueue means that there is no such queue.
	UnknownQueue Outcome = "noQueue"
	// UnknownJob means that there is no such job.
	UnknownJob Outcome = "noJob"
	// NotExecuted means that the request has not run and never will.
	NotExecuted Outcome = "notRun"
	// Indeterminate means that the request may yet run.
	Indeterminate Outcome = "notKnown"
	// Malformed, TooLarge and IDReused refuse the request for what it says.
	Malformed Outcome = "malformed"
	TooLarge  Outcome = "tooLarge"
	IDReused  Outcome = "keyReused"
)

// Response is the final answer to a call.
type Response struct {
	Outcome Outcome
	State   jobspec.State
	Queued  int
	// Message says why, for a person.
	Message string
	// RetryAfter is when the caller may come back; 0 for nothing said.
	RetryAfter time.Duration
	// Close asks the caller to use another connection, since the host shuts down.
	Close bool
}
