package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error.
type Kind string

// The closed set of error kinds.
const (
	// Invalid means that the input is malformed or out of bounds.
	Invalid Kind = "invalid"
	// TooLarge means that the input exceeds a size limit.
	TooLarge Kind = "tooLarge"
	// NotFound means that the named object does not exist.
	NotFound Kind = "notFound"
	// Conflict means that the request refers to a configuration version, a term or
	// an attempt that is no longer current.
	Conflict Kind = "conflict"
	// KeyReused means that a request key was sent again with a different body.
	KeyReused Kind = "keyReused"
	// Infeasible means that the request could not be satisfied however long it
	// waited.
	Infeasible Kind = "infeasible"
	// Overloaded means that a queue is full or too slow. Nothing was done. As the
	// reason of a job's outcome it means that no worker had a free slot in time.
	Overloaded Kind = "overloaded"
	// Unavailable means that a dependency is down. Nothing was done.
	Unavailable Kind = "unavailable"
	// Refused means that a worker, the ledger or the platform rejected the call.
	// Nothing was done. As the reason of a job's outcome it means that the job
	// failed, was stopped or was cancelled.
	Refused Kind = "refused"
	// Draining means that the process is shutting down. Nothing was done.
	Draining Kind = "draining"
	// Fenced means that a later holder of the role has taken over. Nothing was done.
	Fenced Kind = "fenced"
	// Gap means that records were dropped by retention before they were read.
	Gap Kind = "gap"
	// Unknown means that the call may or may not have taken effect.
	Unknown Kind = "unknown"
	// Internal means a defect in limpetrelay.
	Internal Kind = "internal"
)

// Error is a typed error.
type Error struct {
	// Kind is never empty.
	Kind Kind `json:"kind"`
	// Message describes what happened.
	Message string `json:"message"`
	// Remedy is the action that the reader can take. It is never empty.
	Remedy string `json:"remedy"`
	// ConnectionRefused is set when the operating system of the remote host refused
	// the connection, which proves that no process listens at the address. It is
	// not sent to other processes.
	ConnectionRefused bool `json:"-"`
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	return e.Message + "; " + e.Remedy
}

// New returns an error of the given kind with a stack trace attached.
func New(k Kind, message, remedy string) error {
	return errors.WithStackDepth(&Error{Kind: k, Message: message, Remedy: remedy}, 1)
}

// Newf is New with a formatted message.
func Newf(k Kind, remedy, format string, args ...any) error {
	e := &Error{Kind: k, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	return errors.WithStackDepth(e, 1)
}

// NewConnectionRefused returns an Unavailable error that proves that no process
// listens at the remote address.
func NewConnectionRefused(message, remedy string) error {
	e := &Error{Kind: Unavailable, Message: message, Remedy: remedy, ConnectionRefused: true}
	return errors.WithStackDepth(e, 1)
}

// IsConnectionRefused reports whether err proves that no process listens at the
// remote address.
func IsConnectionRefused(err error) bool {
	e := As(err)
	return e != nil && e.ConnectionRefused
}

// As returns err as an *Error, and nil for nil. Errors of other types become
// Unknown, because nothing is known about the effect of the call.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Kind:    Unknown,
		Message: err.Error(),
		Remedy:  "query the state of the request before you repeat it",
	}
}

// KindOf returns the kind of err, and the empty kind for nil.
func KindOf(err error) Kind {
	e := As(err)
	if e == nil {
		return ""
	}
	return e.Kind
}

// NothingDone reports whether err proves that the call had no effect.
func NothingDone(err error) bool {
	switch KindOf(err) {
	case Invalid, TooLarge, NotFound, Conflict, KeyReused, Infeasible,
		Overloaded, Unavailable, Refused, Draining, Fenced:
		return true
	default:
		return false
	}
}
