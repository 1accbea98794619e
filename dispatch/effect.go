package dispatch

import (
	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// Effect is one output of the state machine. Exactly one pointer is set.
type Effect struct {
	Append        *Append
	Heartbeat     *HeartbeatCall
	Member        *MemberCall
	Small         *SmallCall
	Reply         *Reply
	Observe       *Observation
	Violation     *Violation
	FetchSnapshot *FetchSnapshot
	Drained       *Drained
}

// Append writes a batch of records to the log. The driver responds with
// Appended.
type Append struct {
	Batch []record.Record
	// MayBeApplied is set when an earlier append of some of these records may
	// have succeeded.
	MayBeApplied bool
}

// HeartbeatCall sends a heartbeat to a worker. The driver responds with
// HeartbeatResult.
type HeartbeatCall struct {
	Worker    string
	Address   string
	Heartbeat upstream.Heartbeat
}

// Operation is the kind of a call about one member of an attempt.
type Operation string

// The operations.
const (
	OpReserve Operation = "reserve"
	OpStart   Operation = "start"
	OpStop    Operation = "stop"
)

// MemberCall is a call to a worker about one member of an attempt. The driver
// responds with MemberResult.
type MemberCall struct {
	Operation Operation
	Job       string
	Attempt   int
	Index     int
	Worker    string
	Address   string
	// Order is complete for OpReserve. OpStart sets only its Task and Term,
	// OpStop also its Incarnation.
	Order upstream.Order
	// Grace is the time that OpStop leaves the task to save a checkpoint, in
	// milliseconds.
	Grace int64
}

// SmallCall runs, polls or stops the task of a small request. The driver
// responds with SmallResult, except to Stop. Exactly one of Run, Await and Stop
// is set.
type SmallCall struct {
	Worker  string
	Address string
	// Run starts the task and waits for its end.
	Run *upstream.Run
	// Await polls a task that was sent earlier.
	Await *upstream.Await
	// Stop ends the task.
	Stop *upstream.Stop
}

// Reply answers a caller.
type Reply struct {
	Waiter string
	// Err is set when the request was rejected or its result is unknown.
	Err *fault.Error
	// Job is the job's ID; empty for small requests.
	Job string
	// State is the job's state.
	State ledger.State
	// Outcome is set when State is Finished.
	Outcome *job.Outcome
	// Output is the complete output of a small request.
	Output []byte
	// Version and Config are set in replies to patches.
	Version uint64
	Config  *config.Config
}

// Observation is a measurement for the metrics.
type Observation struct {
	Organisation, Class string
	// Name is queueTime, runTime, completionTime or the name of a counter.
	Name string
	// Value is in milliseconds for times, and a count otherwise.
	Value int64
}

// Violation reports a broken invariant.
type Violation struct {
	Message string
}

// FetchSnapshot requests a snapshot from the driver because log records are
// missing.
type FetchSnapshot struct {
	Reason string
}

// Drained reports that the shutdown is complete.
type Drained struct{}
