package upstream

import (
	"context"

	"github.com/limpetrelay/limpetrelay/rack"
)

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task.
const (
	// Reserved tasks hold slots and do not run.
	Reserved TaskState = "reserved"
	// Running tasks run.
	Running TaskState = "running"
	// Ended tasks hold no slots and never run again.
	Ended TaskState = "ended"
)

// Outcome is how a task ended.
type Outcome string

// The ends of a task.
const (
	// Completed tasks ran to their end successfully.
	Completed Outcome = "completed"
	// Failed tasks ended by themselves without success.
	Failed Outcome = "failed"
	// Stopped tasks were running and were stopped by a call.
	Stopped Outcome = "stopped"
	// Evicted tasks were stopped to make room for a reservation.
	Evicted Outcome = "evicted"
	// LeaseExpired tasks were running when their lease expired.
	LeaseExpired Outcome = "lapsed"
	// NeverStarted tasks did not run and never will.
	NeverStarted Outcome = "neverStarted"
)

// Order asks for a task.
type Order struct {
	// Task is unique per attempt and member.
	Task         string `cbor:"t"`
	Job          string `cbor:"j"`
	Organisation string `cbor:"o"`
	Class        string `cbor:"c"`
	// Mask is the cell to use; 0 lets the worker choose a cell of Level.
	Mask  rack.Mask  `cbor:"m,omitempty"`
	Level rack.Level `cbor:"v"`
	// Accelerated orders are refused by workers without accelerators.
	Accelerated bool `cbor:"g,omitempty"`
	// Incarnation of the worker that the order is meant for; empty for any.
	Incarnation string `cbor:"i,omitempty"`
	// Term of the placer; 0 for small requests, which no placer places.
	Term uint64 `cbor:"e,omitempty"`
	// Lease is how long the task may go without renewal, in milliseconds.
	Lease int64 `cbor:"l"`
	// Evict lets a reservation stop small tasks that are in its cell.
	Evict bool `cbor:"x,omitempty"`
	// Resume continues from the last checkpoint of Job, on whichever worker it
	// was saved.
	Resume  bool   `cbor:"r,omitempty"`
	Payload []byte `cbor:"b,omitempty"`
}

// TaskReport is what a worker says of a task.
type TaskReport struct {
	Task  string    `cbor:"t"`
	State TaskState `cbor:"s"`
	// Outcome is set when State is Ended.
	Outcome Outcome `cbor:"e,omitempty"`
	// Message says why a task failed.
	Message string `cbor:"m,omitempty"`
	// Checkpointed is set when the task's progress was saved at its end.
	Checkpointed bool `cbor:"c,omitempty"`
	// RunTime is in milliseconds.
	RunTime int64 `cbor:"r,omitempty"`
	// Size is the length of the output, in bytes.
	Size int64 `cbor:"z,omitempty"`
	// Sum is the hexadecimal SHA-256 of the output.
	Sum string `cbor:"h,omitempty"`
	// Small is set for tasks of small requests, which no placer placed.
	Small bool `cbor:"l,omitempty"`
	// Mask is the cell that the task holds; 0 once it ended.
	Mask rack.Mask `cbor:"k,omitempty"`
}

// Heartbeat renews leases and asks for a report.
type Heartbeat struct {
	// Term of the sender. A worker refuses terms below the highest seen.
	Term uint64 `cbor:"e"`
	// Renew lists the tasks to renew.
	Renew []string `cbor:"r,omitempty"`
	// Forget lists ended tasks whose end is safe in the log. A worker remembers
	// the end of an order with a term until it is listed here: a tombstone for a
	// task that ran would let it run again.
	Forget []string `cbor:"f,omitempty"`
	// SinceRevision is the revision of the last report; tasks that have not changed
	// since are left out. 0 asks for all tasks.
	SinceRevision uint64 `cbor:"s,omitempty"`
	// Wait is how long the worker may hold the answer, in milliseconds. It
	// answers at once when a task of a placer ends.
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
	// Tasks lists the tasks that changed since the revision asked for.
	Tasks []TaskReport `cbor:"t,omitempty"`
	// Revision grows with each change of a task.
	Revision uint64 `cbor:"v"`
}

// Stop ends a task.
type Stop struct {
	Task string `cbor:"t"`
	// Grace is the time for a checkpoint, in milliseconds; 0 takes none.
	Grace int64  `cbor:"g,omitempty"`
	Term  uint64 `cbor:"e,omitempty"`
	// Incarnation of the worker that was asked to run the task. A restarted
	// worker refuses, since it cannot tell what the earlier one did.
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
	// Wait is in milliseconds.
	Wait int64 `cbor:"w"`
	// Fence leaves a tombstone when the worker does not know the task.
	Fence bool `cbor:"f,omitempty"`
	// Incarnation is as in Stop.
	Incarnation string `cbor:"i,omitempty"`
}

// Run orders a small task and waits for its end.
type Run struct {
	Order
	// Wait is in milliseconds.
	Wait int64 `cbor:"w"`
}

// RunReport is the result of Run and Await.
type RunReport struct {
	TaskReport
	// FreeSlots is the number of free slots on the worker.
	FreeSlots int `cbor:"n"`
	// Output is set for completed tasks with a short output.
	Output []byte `cbor:"o,omitempty"`
}

// MaxInlineOutput is the largest output within a RunReport, in bytes.
const MaxInlineOutput = 64 << 10

// MaxOutputPart is the largest part of an output in one answer, in bytes.
const MaxOutputPart = 256 << 10

// OutputRequest asks for a part of a task's output.
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
	// Reserve holds a cell for a task without running it. Repeats are idempotent.
	// An order with a term takes the place of reservations that were not started:
	// the log has given their cells to it.
	Reserve func(context.Context, Order) (TaskReport, error)
	// Start runs a reserved task. Repeats are idempotent.
	Start func(context.Context, Start) (TaskReport, error)
	// Stop ends a task, and returns once it has ended.
	Stop  func(context.Context, Stop) (TaskReport, error)
	Run   func(context.Context, Run) (RunReport, error)
	Await func(context.Context, Await) (RunReport, error)
	// Output returns a part of a completed task's output.
	Output func(context.Context, OutputRequest) (OutputPart, error)
}
