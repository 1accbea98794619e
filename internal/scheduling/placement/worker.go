// Package placement defines workers, the orders sent to them, and the choice of workers
// for tasks. It consists of plain data and pure functions.
package placement

import "github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"

// Listing is a worker's entry in the directory.
type Listing struct {
	// ID identifies the worker. A restarted worker may reuse it in a new lifetime.
	ID string
	// Lifetime identifies the worker's process: it is its start time, in milliseconds
	// since 1970.
	Lifetime int64
	// Address is an IP address and port.
	Address    string
	DataCentre string
	Service    string
	// Labels are the worker's kind and its rack, in no particular order.
	Labels   []string
	Capacity jobspec.Resources
	// Draining is set once the worker is about to leave. Remaining is then the minimum
	// time until it does, in milliseconds.
	Draining  bool
	Remaining int64
	// ColdLeft is how long the worker is still slow after its start, in milliseconds; 0 if it is
	// warm.
	ColdLeft int64
}

// Target is the worker that an order is sent to.
type Target struct {
	ID, Address string
}

// Start orders a worker to start a run.
type Start struct {
	Task jobspec.TaskID
	// Run is the run number, as in jobspec.Task.Run.
	Run     int
	Payload string
	// Lease is the end of the worker's lease on the worker's clock, in milliseconds.
	Lease int64
	// Token is the fencing token, which excludes earlier coordinators.
	Token uint64
	// Checkpoint is the checkpoint from which the run resumes; empty for none.
	Checkpoint string
	// Ticket is the advisory service's permission; empty where none is required.
	Ticket string
	// Delay is how long the order may wait in this host's link before it is sent, in
	// milliseconds. Its answer is awaited for that much longer.
	Delay int64
	// Valid reports whether the order may still be sent. It is called right before that; nil
	// means that it always may.
	Valid func() bool
}

// Stop orders a worker to end a run and to leave a tombstone, so that the run cannot start
// later.
type Stop struct {
	Task  jobspec.TaskID
	Run   int
	Token uint64
	// Delay is as in Start.
	Delay int64
}

// Pace orders a worker to limit a run to a percentage of its full speed.
type Pace struct {
	Task    jobspec.TaskID
	Run     int
	Percent int
	Token   uint64
}

// Poll renews the worker's lease and queries its runs.
type Poll struct {
	Token uint64
	// Lease is the new end of the lease on the worker's clock, in milliseconds; 0 renews
	// nothing.
	Lease int64
	// AckedEnd acknowledges the ends up to and including this number.
	AckedEnd int64
	// Wait is how long the worker may wait for the end of a run before it answers, in
	// milliseconds.
	Wait int64
	// Delay and Valid are as in Start.
	Delay int64
	Valid func() bool
}

// Verdict is the result of an order.
type Verdict string

// The verdicts.
const (
	// Executed means that the order was executed, now or earlier.
	Executed Verdict = "obeyed"
	// Fenced means that the worker has seen the token of a later coordinator.
	Fenced Verdict = "fenced"
	// Superseded means that this run or a later one has ended or was stopped.
	Superseded Verdict = "old"
	// LeaseExpired means that the lease in the order had expired on arrival.
	LeaseExpired Verdict = "late"
	// NoCapacity means that the worker has too little free capacity for the run.
	NoCapacity Verdict = "noRoom"
	// NoTicket means that the advisory service's permission is missing.
	NoTicket Verdict = "noTicket"
	// Invalid means that the order is malformed.
	Invalid Verdict = "invalid"
	// Unhealthy means that the worker is unhealthy and ignored the order.
	Unhealthy Verdict = "unwell"
	// OtherLifetime means that the worker's process has ended, and another one answered.
	OtherLifetime Verdict = "otherLife"
	// NotSent means that the order did not leave this host.
	NotSent Verdict = "notSent"
	// Unanswered means that there was no answer: the order may have been executed, or may
	// be later.
	Unanswered Verdict = "unanswered"
)

// Reply is the answer to an order.
type Reply struct {
	Verdict Verdict
	// Clock is the worker's clock in milliseconds; 0 when there was no answer.
	Clock int64
	// Reason is why there was no answer, for the log; empty when there was one.
	Reason string
}

// Run is a run that a worker reports as running.
type Run struct {
	Task jobspec.TaskID
	Run  int
	// Checkpoint is the newest checkpoint; empty for none.
	Checkpoint string
	// Percent is the completed share of the work, in percent.
	Percent int
	// Load is the tail latency in milliseconds of a serving task, and the CPU usage in
	// thousandths of a core of any other task.
	Load int64
}

// Outcome is how a run ended.
type Outcome string

// The outcomes.
const (
	EndDone    Outcome = "done"
	EndFailed  Outcome = "failed"
	EndStopped Outcome = "stopped"
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired Outcome = "lapsed"
	// EndGangBroken means that another member of the gang ended without success.
	EndGangBroken Outcome = "broken"
	// EndGangIncomplete means that other members of the gang did not start in time.
	EndGangIncomplete Outcome = "alone"
)

// End is the end of a run. Number is its sequence number within the worker's lifetime,
// from 1.
type End struct {
	Number     int64
	Task       jobspec.TaskID
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// PollReply is the answer to Poll. Running and Ended are only set if Verdict is Executed.
type PollReply struct {
	Reply
	Lifetime int64
	Running  []Run
	Ended    []End
	// MoreEnds is set if Ended may lack the newest ends: a worker lists a limited number at
	// once, and the next ones after these are acknowledged.
	MoreEnds bool
}
