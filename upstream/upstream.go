package upstream

import (
	"context"

	"github.com/limpetrelay/limpetrelay/rack"
)

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task.
const (
	// Reserved tasks hold slots but do not run yet.
	Reserved TaskState = "reserved"
	// Running tasks hold slots and run.
	Running TaskState = "running"
	// Ended tasks hold no slots and never run again.
	Ended TaskState = "ended"
)

// Outcome is how a task ended.
type Outcome string

// The outcomes of a task.
const (
	// Completed tasks ran to completion successfully.
	Completed Outcome = "completed"
	// Failed tasks ended on their own without success.
	Failed Outcome = "failed"
	// Stopped tasks were running and were stopped by a call.
	Stopped Outcome = "stopped"
	// Evicted tasks were stopped to free slots for a reservation.
	Evicted Outcome = "evicted"
	// LeaseExpired tasks were running when their lease expired.
	LeaseExpired Outcome = "lapsed"
	// NeverStarted tasks have not run and never will.
	NeverStarted Outcome = "neverStarted"
)

// Order is a request to reserve slots for a task and, in a Run, to run it.
type Order struct {
	// Task is unique per attempt and member.
	Task         string `cbor:"t"`
	Job          string `cbor:"j"`
	Organisation string `cbor:"o"`
	Class        string `cbor:"c"`
	// Mask is the cell to use; 0 lets the worker choose a free cell of Level.
	Mask  rack.Mask  `cbor:"m,omitempty"`
	Level rack.Level `cbor:"v"`
	// Accelerated orders are rejected by workers without accelerators.
	Accelerated bool `cbor:"g,omitempty"`
	// Incarnation is the worker incarnation that the order is meant for; empty for
	// any.
	Incarnation string `cbor:"i,omitempty"`
	// Term is the term of the placer; 0 for small requests, which bypass the placer.
	Term uint64 `cbor:"e,omitempty"`
	// Lease is how long the task may run without a renewal, in milliseconds.
	Lease int64 `cbor:"l"`
	// Evict lets the reservation stop the small tasks that hold slots of its cell.
	Evict bool `cbor:"x,omitempty"`
	// Resume continues from the last checkpoint of Job, whichever worker saved it.
	Resume  bool   `cbor:"r,omitempty"`
	Payload []byte `cbor:"b,omitempty"`
}

// TaskReport is the state of a task as its worker reports it.
type TaskReport struct {
	Task  string    `cbor:"t"`
	State TaskState `cbor:"s"`
	// Outcome is set when State is Ended.
	Outcome Outcome `cbor:"e,omitempty"`
	// Message is the reason why a task failed.
	Message string `cbor:"m,omitempty"`
	// Checkpointed is set when the task's progress was saved as it ended.
	Checkpointed bool `cbor:"c,omitempty"`
	// RunTime is how long the task ran, in milliseconds.
	RunTime int64 `cbor:"r,omitempty"`
	// Size is the length of the output, in bytes.
	Size int64 `cbor:"z,omitempty"`
	// Sum is the hexadecimal SHA-256 of the output.
	Sum string `cbor:"h,omitempty"`
	// Small is set for tasks of small requests, which bypass the placer.
	Small bool `cbor:"l,omitempty"`
	// Mask is the cell that the task holds; 0 once it has ended.
	Mask rack.Mask `cbor:"k,omitempty"`
}

// Heartbeat renews leases and requests a report.
type Heartbeat struct {
	// Term is the term of the sender. A worker rejects terms below the highest that
	// it has seen.
	Term uint64 `cbor:"e"`
	// Renew lists the tasks whose leases to renew.
	Renew []string `cbor:"r,omitempty"`
	// Forget lists ended tasks whose outcome has been recorded in the log. A worker
	// keeps the outcome of an order with a term until the task is listed here. If
	// it dropped the outcome earlier, a tombstone could replace it and a task that
	// has run would be run again.
	Forget []string `cbor:"f,omitempty"`
	// SinceRevision is the revision of the last report received. Tasks that have not
	// changed since are omitted; 0 requests all tasks.
	SinceRevision uint64 `cbor:"s,omitempty"`
	// Wait is how long the worker may delay the response, in milliseconds. It
	// responds at once when a task ordered by a placer ends.
	Wait int64 `cbor:"w,omitempty"`
}

// Report is a worker's view of itself.
type Report struct {
	Worker      string `cbor:"w"`
	Incarnation string `cbor:"i"`
	DataCentre  string `cbor:"d"`
	Rack        string `cbor:"r"`
	Slots       int    `cbor:"s"`
	Accelerated bool   `cbor:"g,omitempty"`
	Leaving     bool   `cbor:"l,omitempty"`
	// Free is the set of slots that no task holds.
	Free rack.Mask `cbor:"f"`
	// Tasks lists the tasks that have changed since SinceRevision.
	Tasks []TaskReport `cbor:"t,omitempty"`
	// Revision increases with each change of a task.
	Revision uint64 `cbor:"v"`
}

// Stop ends a task.
type Stop struct {
	Task string `cbor:"t"`
	// Grace is the time allowed for a checkpoint, in milliseconds; 0 saves none.
	Grace int64  `cbor:"g,omitempty"`
	Term  uint64 `cbor:"e,omitempty"`
	// Incarnation is the worker incarnation that the task was sent to. A restarted
	// worker rejects the call, because it does not know what the previous
	// incarnation did.
	Incarnation string `cbor:"i,omitempty"`
}

// Start runs a reserved task.
type Start struct {
	Task string `cbor:"t"`
	Term uint64 `cbor:"e"`
}

// Await waits for the end of a task and renews its lease.
type Await struct {
	Task string `cbor:"t"`
	// Wait is the longest time to wait, in milliseconds.
	Wait int64 `cbor:"w"`
	// Fence leaves a tombstone when the worker has no such task.
	Fence bool `cbor:"f,omitempty"`
	// Incarnation has the same meaning as in Stop.
	Incarnation string `cbor:"i,omitempty"`
}

// Run orders a small task and waits for its end.
type Run struct {
	Order
	// Wait is the longest time to wait, in milliseconds.
	Wait int64 `cbor:"w"`
}

// RunReport is the result of Run and Await.
type RunReport struct {
	TaskReport
	// FreeSlots is the number of free slots on the worker.
	FreeSlots int `cbor:"n"`
	// Output is set for completed tasks whose output is at most MaxInlineOutput
	// bytes.
	Output []byte `cbor:"o,omitempty"`
}

// MaxInlineOutput is the largest output that a RunReport includes, in bytes.
const MaxInlineOutput = 64 << 10

// MaxOutputPart is the largest part of an output in one response, in bytes.
const MaxOutputPart = 256 << 10

// OutputRequest requests the part of a task's output that starts at Offset.
type OutputRequest struct {
	Task   string `cbor:"t"`
	Offset int64  `cbor:"o"`
}

// OutputPart is a part of a task's output.
type OutputPart struct {
	Data []byte `cbor:"d"`
	// Size is the length of the whole output.
	Size int64 `cbor:"z"`
}

// Worker is the set of calls of one worker.
type Worker struct {
	Heartbeat func(context.Context, Heartbeat) (Report, error)
	// Reserve reserves a cell for a task without running it. It is idempotent. An
	// order with a term evicts reservations in its cell that were not started,
	// because the log has assigned their cells to the order.
	Reserve func(context.Context, Order) (TaskReport, error)
	// Start runs a reserved task. It is idempotent.
	Start func(context.Context, Start) (TaskReport, error)
	// Stop ends a task and returns once the task has ended.
	Stop  func(context.Context, Stop) (TaskReport, error)
	Run   func(context.Context, Run) (RunReport, error)
	Await func(context.Context, Await) (RunReport, error)
	// Output returns a part of a completed task's output.
	Output func(context.Context, OutputRequest) (OutputPart, error)
}
