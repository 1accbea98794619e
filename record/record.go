package record

import (
	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/wire"
)

// MaxRecord is the largest accepted record, in bytes.
const MaxRecordSize = 512 << 10

// Record is one entry of the log.
type Record struct {
	// Host names the writer.
	Host string `cbor:"h"`
	// Incarnation is unique per start of the writer's process.
	Incarnation string `cbor:"i"`
	// Sequence grows by one with each record of an incarnation, from 1.
	Sequence uint64 `cbor:"s"`
	// At is the writer's clock, in Unix milliseconds. It is never used for
	// safety.
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

// Accept enters a job into the queue of a data centre.
type Accept struct {
	// Job is unique.
	Job  string   `cbor:"j"`
	Spec job.Spec `cbor:"s"`
	// DataCentre is where the job will run.
	DataCentre string `cbor:"d"`
}

// Member is the place of one member of a gang.
type Member struct {
	Worker string `cbor:"w"`
	// Incarnation of the worker that was seen when the place was chosen.
	Incarnation string    `cbor:"i"`
	Mask        rack.Mask `cbor:"m"`
}

// Place puts a waiting job on workers. It precedes every start.
type Place struct {
	Job string `cbor:"j"`
	// Attempt is one more than the job's last attempt.
	Attempt int `cbor:"a"`
	// Term is the placer's term in the job's data centre.
	Term uint64 `cbor:"t"`
	// Members is in member order.
	Members []Member `cbor:"m"`
	// Guaranteed places use the organisation's guarantee and are not reclaimed.
	Guaranteed bool `cbor:"g,omitempty"`
	// Abstract lists the cells of the guarantee that a guaranteed place uses.
	VirtualCells []rack.Cell `cbor:"v,omitempty"`
}

// Requeue ends an attempt and returns the job to the queue. For every member the
// writer has an arbiter's word that it does not run any more, or has not sent a
// start within its term.
type Requeue struct {
	Job     string `cbor:"j"`
	Attempt int    `cbor:"a"`
	Term    uint64 `cbor:"t"`
	// NeverStarted is set when an arbiter has said that no member started.
	NeverStarted bool `cbor:"n,omitempty"`
	// FailedOn names the worker on which a member failed by itself.
	FailedOn string `cbor:"f,omitempty"`
	// Checkpointed is set when all members saved their progress.
	Checkpointed bool `cbor:"c,omitempty"`
	// Why is shown to operators.
	Reason string `cbor:"y,omitempty"`
}

// End gives a job its outcome.
type End struct {
	Job     string      `cbor:"j"`
	Attempt int         `cbor:"a"`
	Term    uint64      `cbor:"t"`
	Outcome job.Outcome `cbor:"o"`
	// RunTime of the last attempt, in milliseconds; 0 when it did not run.
	RunTime int64 `cbor:"r,omitempty"`
	// FailedOn names the worker on which a member failed by itself.
	FailedOn string `cbor:"f,omitempty"`
}

// Cancel asks for the end of a job.
type Cancel struct {
	Job string `cbor:"j"`
	// By names who asked.
	By string `cbor:"b"`
}

// Claim takes the placer role of a data centre.
type Claim struct {
	DataCentre string `cbor:"d"`
	// Term is one more than the current term.
	Term uint64 `cbor:"t"`
}

// WorkerState is the state of a worker in the log.
type WorkerState string

// The states of a worker.
const (
	// Live workers receive work.
	Live WorkerState = "live"
	// Leaving workers finish what they have.
	Leaving WorkerState = "leaving"
	// Gone workers are not expected back soon; their cells count as bad.
	Gone WorkerState = "gone"
	// Ejected workers fail what they start; only trial tasks may run there.
	Ejected WorkerState = "ejected"
	// Removed workers were taken out of the racks for good.
	Removed WorkerState = "removed"
)

// Worker reports a change of a worker.
type Worker struct {
	Name        string      `cbor:"n"`
	DataCentre  string      `cbor:"d"`
	Rack        string      `cbor:"r"`
	Address     string      `cbor:"a"`
	Slots       int         `cbor:"s"`
	Accelerated bool        `cbor:"g,omitempty"`
	Incarnation string      `cbor:"i"`
	State       WorkerState `cbor:"z"`
	Term        uint64      `cbor:"t"`
}

// Encode returns the bytes of a batch of records.
func Encode(batch []Record) ([]byte, error) {
	return wire.Encode(batch)
}

// Decode reads a batch of records. It returns an Invalid error when the bytes
// are no batch or a record does not have exactly one body.
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

// bodies returns the number of set body fields.
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
