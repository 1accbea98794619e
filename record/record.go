package record

import (
	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/wire"
)

// MaxRecordSize is the maximum size of a record, in bytes.
const MaxRecordSize = 512 << 10

// Record is one entry of the log. Exactly one of the fields from Patch to
// Worker, its body, is set.
type Record struct {
	// Host is the name of the host that wrote the record.
	Host string `cbor:"h"`
	// Incarnation identifies one run of the writer's process and is never reused.
	Incarnation string `cbor:"i"`
	// Sequence numbers the records of an incarnation, starting at 1.
	Sequence uint64 `cbor:"s"`
	// At is the writer's clock at the time of writing, in Unix milliseconds. No
	// safety property depends on it.
	At int64 `cbor:"t"`

	Patch   *config.Patch `cbor:"p,omitempty"`
	Accept  *Accept       `cbor:"a,omitempty"`
	Place   *Place        `cbor:"l,omitempty"`
	Requeue *Requeue      `cbor:"r,omitempty"`
	End     *End          `cbor:"e,omitempty"`
	Cancel  *Cancel       `cbor:"c,omitempty"`
	Claim   *Claim        `cbor:"m,omitempty"`
	Worker  *Worker       `cbor:"w,omitempty"`
}

// Accept adds a job to the queue of a data centre.
type Accept struct {
	// Job is the unique ID of the job.
	Job  string   `cbor:"j"`
	Spec job.Spec `cbor:"s"`
	// DataCentre is the data centre in which the job is queued. The ledger moves
	// the job to another one when this one is closed.
	DataCentre string `cbor:"d"`
}

// Member is the placement of one member of a gang.
type Member struct {
	Worker string `cbor:"w"`
	// Incarnation is the worker's incarnation at the time the placement was
	// chosen.
	Incarnation string `cbor:"i"`
	// Mask selects the worker's slots that the member occupies.
	Mask rack.Mask `cbor:"m"`
}

// Place assigns the members of a queued job to workers. It is recorded before any
// member is started.
type Place struct {
	Job string `cbor:"j"`
	// Attempt is the number of the job's previous attempt plus one.
	Attempt int `cbor:"a"`
	// Term is the placer's term in the job's data centre.
	Term uint64 `cbor:"t"`
	// Members lists the placements in member order.
	Members []Member `cbor:"m"`
	// Guaranteed reports whether the placement uses the organisation's guarantee.
	// A guaranteed job is not preempted to reclaim another guarantee.
	Guaranteed bool `cbor:"g,omitempty"`
	// VirtualCells lists the virtual cells of the guarantee that a guaranteed
	// placement uses.
	VirtualCells []rack.Cell `cbor:"v,omitempty"`
}

// Requeue ends an attempt and returns the job to the queue. For every member, the
// writer either has authoritative confirmation that it no longer runs or has not
// sent a start during its term.
type Requeue struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	Term    uint64 `cbor:"t"`
	// NeverStarted is set when there is authoritative confirmation that no member
	// started.
	NeverStarted bool `cbor:"n,omitempty"`
	// FailedOn names the worker on which a member failed by itself; empty for none.
	FailedOn string `cbor:"f,omitempty"`
	// Checkpointed is set when every member saved its progress.
	Checkpointed bool `cbor:"c,omitempty"`
	// Reason is a text for operators.
	Reason string `cbor:"y,omitempty"`
}

// End records the final outcome of a job.
type End struct {
	Job     string      `cbor:"j"`
	Attempt int         `cbor:"a"`
	Term    uint64      `cbor:"t"`
	Outcome job.Outcome `cbor:"o"`
	// RunTime is the run time of the last attempt, in milliseconds; 0 if it did not
	// run.
	RunTime int64 `cbor:"r,omitempty"`
	// FailedOn names the worker on which a member failed by itself; empty for none.
	FailedOn string `cbor:"f,omitempty"`
}

// Cancel requests the cancellation of a job.
type Cancel struct {
	Job string `cbor:"j"`
	// By names the requester.
	By string `cbor:"b"`
}

// Claim acquires the placer role of a data centre for the writer.
type Claim struct {
	DataCentre string `cbor:"d"`
	// Term is the current term plus one.
	Term uint64 `cbor:"t"`
}

// WorkerState is the recorded state of a worker.
type WorkerState string

// The states of a worker.
const (
	// Live workers accept new tasks.
	Live WorkerState = "live"
	// Leaving workers accept no new tasks and finish those they have.
	Leaving WorkerState = "leaving"
	// Gone workers are not expected to return soon; their cells are unavailable.
	Gone WorkerState = "gone"
	// Ejected workers accept no new tasks for a time, because jobs keep failing on
	// them.
	Ejected WorkerState = "ejected"
	// Removed workers have been permanently removed from the racks.
	Removed WorkerState = "removed"
)

// Worker records a new or changed worker.
type Worker struct {
	Name       string `cbor:"n"`
	DataCentre string `cbor:"d"`
	Rack       string `cbor:"r"`
	Address    string `cbor:"a"`
	// Slots is 1, 2, 4 or 8.
	Slots int `cbor:"s"`
	// Accelerated reports whether the slots have accelerators.
	Accelerated bool        `cbor:"g,omitempty"`
	Incarnation string      `cbor:"i"`
	State       WorkerState `cbor:"z"`
	// Term is the placer's term in the data centre.
	Term uint64 `cbor:"t"`
}

// Encode returns the CBOR encoding of a batch of records.
func Encode(batch []Record) ([]byte, error) {
	return wire.Encode(batch)
}

// Decode decodes a batch of records. It returns an Invalid error if b is not a
// valid batch or a record does not have exactly one body.
func Decode(b []byte) ([]Record, error) {
	var batch []Record
	if err := wire.Decode(b, &batch); err != nil {
		return nil, err
	}
	for i := range batch {
		if batch[i].bodyCount() != 1 {
			return nil, fault.New(fault.Invalid, "a record does not have exactly one body",
				"check which program writes to this stream")
		}
	}
	return batch, nil
}

// bodyCount returns the number of body fields that are set.
func (r *Record) bodyCount() int {
	n := 0
	for _, set := range []bool{
		r.Patch != nil, r.Accept != nil, r.Place != nil, r.Requeue != nil,
		r.End != nil, r.Cancel != nil, r.Claim != nil, r.Worker != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
