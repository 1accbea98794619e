package coordinator

import (
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// Event is one input of the state machine. Now is a monotonic time that also advances
// while the host is suspended, and Wall is the time of day, both in milliseconds. At
// most one of the other fields is set; with none set, the event reports the passing
// of time.
type Event struct {
	Now, Wall int64
	// Waited is how long the event waited to be handled, and Took how long the handling of the
	// one before it took, its effects included, in milliseconds. For an event that is handled
	// before others that wait, Waited is that of the last one that was not.
	Waited, Took int64
	// OperatorAge is how long ago the read was sent that last showed the operators' records to be
	// complete, in milliseconds. It counts only changes that were passed on before this event.
	OperatorAge int64

	Job           *JobChanged
	Listed        *placement.Listing
	Unlisted      *Unlisted
	Polled        *Polled
	OrderAnswered *OrderAnswered
	Recorded      *Recorded
	Configured    *queueconfig.Configuration
	Evacuated     *Evacuated
	Advice        *Advice
	// Replaced is the reason why the store rejects this coordinator's records for good;
	// empty otherwise.
	Replaced string
	// PredecessorsGone is set once all earlier coordinators are known to have ended.
	PredecessorsGone bool
}

// JobChanged reports that a job was accepted or cancelled.
type JobChanged struct {
	Spec      *jobspec.Spec
	Cancelled bool
}

// Unlisted reports that a worker's entry was removed from the directory.
type Unlisted struct{ ID string }

// Polled is the answer to a Poll effect.
type Polled struct {
	Worker string
	// Address is where the poll was sent, and Number the number of the poll.
	Address string
	Number  uint64
	// SentAt is when the poll was sent, on the clock of Event.Now.
	SentAt int64
	Reply  placement.PollReply
}

// OrderAnswered is the answer to a start or stop order.
type OrderAnswered struct {
	Worker string
	// Address is where the order was sent.
	Address string
	Task    jobspec.TaskID
	Run     int
	// IsStop is set if the order was a stop, and clear if it was a start.
	IsStop bool
	Reply  placement.Reply
}

// Recorded reports that a batch of records is in the store.
type Recorded struct {
	Batch uint64
	// SentAt is when the last append of Record.Records was sent, on the clock of Event.Now; 0
	// if the batch had none. Only these show that the role was still held, since the next
	// coordinator claims it in their partition.
	SentAt int64
	// Refused has the keys of the records that the store does not accept.
	Refused []string
}

// Advice is the answer to a QueryAdvice effect.
type Advice struct {
	Step jobspec.TaskID
	// Tickets holds a ticket for each worker that the service permits, by worker ID;
	// nil if there was no answer.
	Tickets map[string]string
	// Validity is how long the tickets are valid, in milliseconds.
	Validity int64
}

// Effect is one action for the driver; exactly one field is set.
type Effect struct {
	Record      *Record
	Start       *Start
	Stop        *Stop
	Poll        *Poll
	QueryAdvice *QueryAdvice
	Log         *LogLine
	// Resign is the reason why the coordinator must stop; empty otherwise.
	Resign string
}

// Record writes a batch to the store. The driver retries it until it is written and
// then reports Recorded, or reports Event.Replaced if the coordinator has been
// replaced. The next batch is issued only after Recorded.
type Record struct {
	Batch uint64
	// Details are written to their own partition, before Records: the next coordinator
	// must know of every run, whatever has been reported to callers.
	Details []jobstate.Record
	Records []jobstate.Record
}

// Start sends a start order.
type Start struct {
	Target placement.Target
	Order  placement.Start
	// ExpiresAt is the time on the clock of Event.Now after which the order must not be
	// sent any more.
	ExpiresAt int64
}

// Stop sends a stop order.
type Stop struct {
	Target placement.Target
	Order  placement.Stop
}

// Poll sends a poll, which renews the worker's lease and requests its list of runs.
type Poll struct {
	Target placement.Target
	Order  placement.Poll
	// Number numbers the polls of a worker.
	Number uint64
	// ExpiresAt is as in Start; 0 means never.
	ExpiresAt int64
}

// QueryAdvice queries the advisory service on which of the workers a step may run.
type QueryAdvice struct {
	Step    jobspec.TaskID
	Workers []string
}

// LogLine is one line for the log.
type LogLine struct {
	Message string
	Attrs   []slog.Attr
}
