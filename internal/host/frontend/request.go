package frontend

import (
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Verb is the operation that a caller requests.
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
	// Host and Path identify the queue and, unless Path is a route's prefix, the job.
	Host, Path string
	// Key is the caller's API key; empty if the caller sent none.
	Key string
	// Timeout is how long the caller waits for the response; 0 if it did not say.
	Timeout time.Duration
	// Decode reads the job of a submission, whose body may have up to maxBytes bytes.
	// It fails with fault.Invalid, fault.TooLarge or, if the host has no memory for the job,
	// fault.Overloaded.
	Decode func(maxBytes int) (jobspec.Spec, error)
	// ValidID reports whether a string is a well-formed job ID.
	ValidID func(string) bool
}

// Outcome classifies a response.
type Outcome string

// The outcomes.
const (
	// Recorded means that a submission or a cancellation is in the store, or that the
	// job had already been accepted or had already ended.
	Recorded Outcome = "done"
	// StateReported means that Response.State is set, and CountReported that
	// Response.Queued is.
	StateReported Outcome = "told"
	CountReported Outcome = "counted"
	// UnknownKey means that the API key is missing or not in the configuration.
	UnknownKey Outcome = "noKey"
	// UnknownQueue means that no route matches the request's host and path.
	UnknownQueue Outcome = "noQueue"
	// UnknownJob means that no job with this ID is visible to the caller.
	UnknownJob Outcome = "noJob"
	// NotExecuted means that the request has had no effect and never will.
	NotExecuted Outcome = "notRun"
	// Indeterminate means that the request may have taken effect, or may do so later.
	Indeterminate Outcome = "notKnown"
	// Malformed, TooLarge and IDReused reject the request because of its content.
	// IDReused means that another job was accepted under the same ID.
	Malformed Outcome = "malformed"
	TooLarge  Outcome = "tooLarge"
	IDReused  Outcome = "keyReused"
)

// Response is the final response to a request.
type Response struct {
	Outcome Outcome
	// State is the job's state.
	State jobspec.State
	// Queued is the number of accepted jobs of the queue that have not started.
	Queued int
	// Message explains the outcome to a person.
	Message string
	// RetryAfter is the delay after which the caller may retry; 0 gives no advice.
	RetryAfter time.Duration
	// Close asks the caller to close its connection, since the host is shutting down or has no
	// memory for its requests.
	Close bool
}
