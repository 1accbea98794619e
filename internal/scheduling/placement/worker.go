// Package placement holds what is known of workers, the orders sent to them, and
// the choice of places on them. All of it is plain data and arithmetic.
package placement

import "github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"

// Listing is what a worker's entry in the directory says.
type Listing struct {
	// ID names the worker; it may come back in a new lifetime.
	ID string
	// Born is the start of the lifetime, in milliseconds since 1970.
	Lifetime int64
	// Address is an IP number and port.
	Address    string
	DataCentre string
	Service    string
	// Labels are the worker's kind and its rack, in no particular order.
	Labels   []string
	Capacity jobspec.Resources
	// Draining is set once the worker is about to leave, and Remaining is the
	// least time left then, in milliseconds.
	Draining  bool
	Remaining int64
}

// Target is the lifetime of a worker that an order is meant for.
type Target struct {
	ID, Address string
}

// Start orders a run to begin.
type Start struct {
	Task    jobspec.TaskID
	Run     int
	Payload string
	// Lease is the end of the worker's lease, on the worker's clock in milliseconds.
	Lease int64
	// Token fences earlier coordinators.
	Token uint64
	// Checkpoint is where the run resumes; empty for the beginning.
	Checkpoint string
	// Ticket is the advisory service's permission; empty where none is needed.
	Ticket string
}

// Stop orders a run to end, and forbids it to begin.
type Stop struct {
	Task  jobspec.TaskID
	Run   int
	Token uint64
}

// Pace sets the share of its speed at which a run works, in percent.
type Pace struct {
	Task    jobspec.TaskID
	Run     int
	Percent int
	Token   uint64
}

// Hold renews the worker's lease and asks for its runs.
type Poll struct {
	Token uint64
	// Lease is on the worker's clock, in milliseconds; 0 renews nothing.
	Lease int64
	// Seen acknowledges the ends up to this number.
	AckedEnd int64
	// Wait is how long the worker may wait for an end, in milliseconds.
	Wait int64
}

// Verdict is a worker's answer to an order.
type Verdict string

// The verdicts.
const (
	// Obeyed means that the order was carried out, now or before.
	Executed Verdict = "obeyed"
	// Fenced means that a later coordinator has been seen.
	Fenced Verdict = "fenced"
	// Old means that the run, or a higher one, has ended or was stopped.
	Superseded Verdict = "old"
	// Late means that the lease in the order had passed.
	LeaseExpired Verdict = "late"
	// NoRoom means that the run does not fit.
	NoCapacity Verdict = "noRoom"
	// NoTicket means that the advisory service's permission is missing.
	NoTicket Verdict = "noTicket"
	// Invalid means that the worker cannot read the order.
	Invalid Verdict = "invalid"
	// Unwell means that the worker is not healthy and did nothing.
	Unhealthy Verdict = "unwell"
	// OtherLife means that the lifetime is over.
	OtherLifetime Verdict = "otherLife"
	// NotSent means that the order never left this host.
	NotSent Verdict = "notSent"
	// Unanswered means that the order may have been carried out, or may be later.
	Unanswered Verdict = "unanswered"
)

// Reply is the answer to an order.
type Reply struct {
	Verdict Verdict
	// Clock is the worker's clock in milliseconds; 0 when there was no answer.
	Clock int64
	// Why says why there was no answer, for the log; empty when there was one.
	Reason string
}

// Run is a run that is on a worker.
type Run struct {
	Task jobspec.TaskID
	Run  int
	// Checkpoint is the newest saved progress; empty for none.
	Checkpoint string
	// Percent is how much of the work is done.
	Percent int
	// Load is the tail latency in milliseconds of a serving task, and the
	// thousandths of a core in use of any other.
	Load int64
}

// Ending is how a run ended.
type Outcome string

// The endings.
const (
	EndDone    Outcome = "done"
	EndFailed  Outcome = "failed"
	EndStopped Outcome = "stopped"
	// EndLapsed means that the lease ran out.
	EndLeaseExpired Outcome = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndGangBroken Outcome = "broken"
	// EndAlone means that the other members did not come in time.
	EndGangIncomplete Outcome = "alone"
)

// End is the end of a run. Number counts the ends of a lifetime from 1.
type End struct {
	Number     int64
	Task       jobspec.TaskID
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Held is the answer to Hold. Running and Ended are set with Obeyed only.
type PollReply struct {
	Reply
	Lifetime int64
	Running  []Run
	Ended    []End
}
