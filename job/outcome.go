package job

import "github.com/limpetrelay/limpetrelay/fault"

// Result states how a job ended.
type Result string

// The closed set of results.
const (
	// Completed means that every member ran to its end successfully.
	Completed Result = "completed"
	// Failed means that the job ran, at least in part, and did not complete.
	Failed Result = "failed"
	// NotRun means that no member ran and none will.
	NotRun Result = "notRun"
	// Unknown means that the job may have run.
	Unknown Result = "unknown"
)

// Outcome is the final result of a job, as reported to the caller.
type Outcome struct {
	// Result is never empty.
	Result Result `cbor:"r" json:"result"`
	// Reason is set unless Result is Completed.
	Reason *fault.Error `cbor:"e,omitempty" json:"reason,omitempty"`
	// Answers describes the answer of each member, in member order. It is set
	// when Result is Completed.
	Answers []Answer `cbor:"a,omitempty" json:"answers,omitempty"`
}

// Answer locates the output of one member.
type Answer struct {
	// Task is the identity under which the worker keeps the output.
	Task string `cbor:"t" json:"task"`
	// Worker names the worker that keeps the output.
	Worker string `cbor:"w" json:"worker"`
	// Size is the length of the output, in bytes.
	Size int64 `cbor:"s" json:"size"`
	// Sum is the hexadecimal SHA-256 of the output.
	Sum string `cbor:"h" json:"sum"`
}

// NewOutcome returns an outcome with result r and a reason of kind k.
func NewOutcome(r Result, k fault.Kind, message, remedy string) Outcome {
	return Outcome{Result: r, Reason: &fault.Error{Kind: k, Message: message, Remedy: remedy}}
}
