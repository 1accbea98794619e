package coordinator

import (
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// Event is one thing that happened. Now is a steady time that counts the time
// while the host was frozen, and Wall the time of day, both in milliseconds; one of
// the pointers is set, or none for the passing of time.
type Event struct {
	Now, Wall int64

	Job           *JobChanged
	Listed        *placement.Listing
	Unlisted      *Unlisted
	Polled        *Polled
	OrderAnswered *OrderAnswered
	Recorded      *Recorded
	Configured    *queueconfig.Configuration
	Advice        *Advice
	// Replaced says why the store takes no more records; empty otherwise.
	Replaced string
	// PriorGone tells that all earlier coordinators have ended.
	PredecessorsGone bool
}

// JobChanged brings a job that was accepted or cancelled.
type JobChanged struct {
	Spec      *jobspec.Spec
	Cancelled bool
}

// Unlisted tells that a worker's entry is gone.
type Unlisted struct{ ID string }

// Held is the answer to a Hold effect.
type Polled struct {
	Worker string
	// Asked is when the hold was sent, in the time of Event.Now.
	SentAt int64
	Reply  placement.PollReply
}

// Answered is the answer to an order.
type OrderAnswered struct {
	Worker string
	Task   jobspec.TaskID
	Run    int
	// Stopped is set for a stop, and clear for a start.
	IsStop bool
	Reply  placement.Reply
}

// Recorded tells that a batch of records is in the store.
type Recorded struct {
	Batch uint64
	// Sent is when the append was sent, in the time of Event.Now.
	SentAt int64
}

// Advised is the answer to an Advise effect.
type Advice struct {
	Step jobspec.TaskID
	// Tickets is by worker; nil when there was no answer.
	Tickets map[string]string
	// Validity is in milliseconds.
	Validity int64
}

// Effect is one thing to do; one of the pointers is set.
type Effect struct {
	Record      *Record
	Start       *Start
	Stop        *Stop
	Poll        *Poll
	QueryAdvice *QueryAdvice
	Log         *LogLine
	// Resign is set when the coordinator must stop, and says why.
	Resign string
}

// Record writes a batch to the store. The driver repeats it until it is written and
// answers with Recorded, unless the coordinator has been replaced. The next batch
// comes after the answer.
type Record struct {
	Batch uint64
	// Details go to their own partition, and before the records: what runs must be known
	// to the next coordinator whatever is told to callers.
	Details []jobstate.Record
	Records []jobstate.Record
}

// Start gives a start order.
type Start struct {
	Target placement.Target
	Order  placement.Start
}

// Stop gives a stop order.
type Stop struct {
	Target placement.Target
	Order  placement.Stop
}

// Hold renews a lease.
type Poll struct {
	Target placement.Target
	Order  placement.Poll
}

// Advise asks the advisory service where a step may run.
type QueryAdvice struct {
	Step    jobspec.TaskID
	Workers []string
}

// Line is one line for the log.
type LogLine struct {
	Message string
	Attrs   []slog.Attr
}
