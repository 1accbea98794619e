package dispatch

import (
	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// Effect is one output of the reducer. Exactly one pointer is set.
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

// Append writes a batch of records. The driver answers with Appended.
type Append struct {
	Batch []record.Record
	// MayBeApplied is set when an earlier try of a part may have been applied.
	MayBeApplied bool
}

// HeartbeatCall sends a heartbeat to a worker. The driver answers with
// HeartbeatResult.
type HeartbeatCall struct {
	Worker    string
	Address   string
	Heartbeat upstream.Heartbeat
}

// Operation is a call about one member of a gang.
type Operation string

// The operations.
const (
	OpReserve Operation = "reserve"
	OpStart   Operation = "start"
	OpStop    Operation = "stop"
)

// MemberCall is a call about one member. The driver answers with MemberResult.
type MemberCall struct {
	Operation Operation
	Job       string
	Attempt   int
	Index     int
	Worker    string
	Address   string
	// Order is set for OpReserve; for the others only its Task and Term are.
	Order upstream.Order
	// Grace is the time for a checkpoint, in milliseconds, for OpStop.
	Grace int64
}

// SmallCall runs or follows a small task. The driver answers with SmallResult.
type SmallCall struct {
	Worker  string
	Address string
	// Run is set to start the task and nil to follow it.
	Run *upstream.Run
	// Await is set when Run is nil.
	Await *upstream.Await
	// Stop ends the task; the driver does not answer.
	Stop *upstream.Stop
}

// Reply answers a caller.
type Reply struct {
	Waiter string
	// Err is set when the request was refused or its state is unknown.
	Err *fault.Error
	// Job is the job's ID; empty for small requests.
	Job string
	// State is the job's state.
	State ledger.State
	// Outcome is set when State is Finished.
	Outcome *job.Outcome
	// Output is the whole answer of a small request.
	Output []byte
	// Version and Config answer patches.
	Version uint64
	Config  *config.Config
}

// Observation is a measurement for the metrics.
type Observation struct {
	Organisation, Class string
	// Name is queueTime, runTime, completionTime or a counter's name.
	Name string
	// Value is in milliseconds, or a count.
	Value int64
}

// Violation reports a broken invariant.
type Violation struct {
	Message string
}

// FetchSnapshot asks the driver for a snapshot because records are missing.
type FetchSnapshot struct {
	Reason string
}

// Drained tells the driver that nothing is left to do.
type Drained struct{}
