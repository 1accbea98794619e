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

	Job        *JobChanged
	Listed     *placement.Listing
	Unlisted   *Unlisted
	Held       *Held
	Answered   *Answered
	Recorded   *Recorded
	Configured *queueconfig.Configuration
	Advised    *Advised
	// Replaced says why the store takes no more records; empty otherwise.
	Replaced string
	// PriorGone tells that all earlier coordinators have ended.
	PriorGone bool
}

// JobChanged brings a job that was accepted or cancelled.
type JobChanged struct {
	Spec      *jobspec.Spec
	Cancelled bool
}

// Unlisted tells that a worker's entry is gone.
type Unlisted struct{ ID string }

// Held is the answer to a Hold effect.
type Held struct {
	Worker string
	// Asked is when the hold was sent, in the time of Event.Now.
	Asked int64
	Reply placement.Held
}

// Answered is the answer to an order.
type Answered struct {
	Worker string
	Task   jobspec.Name
	Run    int
	// Stopped is set for a stop, and clear for a start.
	Stopped bool
	Reply   placement.Reply
}

// Recorded tells that a batch of records is in the store.
type Recorded struct {
	Batch uint64
	// Sent is when the append was sent, in the time of Event.Now.
	Sent int64
}

// Advised is the answer to an Advise effect.
type Advised struct {
	Step jobspec.Name
	// Tickets is by worker; nil when there was no answer.
	Tickets map[string]string
	// Validity is in milliseconds.
	Validity int64
}

// Effect is one thing to do; one of the pointers is set.
type Effect struct {
	Record *Record
	Start  *Start
	Stop   *Stop
	Hold   *Hold
	Advise *Advise
	Line   *Line
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
type Hold struct {
	Target placement.Target
	Order  placement.Hold
}

// Advise asks the advisory service where a step may run.
type Advise struct {
	Step    jobspec.Name
	Workers []string
}

// Line is one line for the log.
type Line struct {
	Message string
	Attrs   []slog.Attr
}
