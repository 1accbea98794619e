package jobstate

import (
	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Details has the progress of open jobs including that of their tasks, by job ID. It is
// kept in a partition of its own, which only a host that becomes coordinator reads: the
// volume that the other hosts read must not grow with the number of tasks.
type Details map[string]*jobspec.Progress

// Leases has the recorded leases by worker ID. They are kept beside the details: in a burst of
// starts or while a data centre is cut off, a large part of all workers has one.
type Leases map[string]RecordedLease

// RecordedLease states how the leases of a worker with runs differ from those of other workers.
type RecordedLease struct {
	// Term is that of the coordinator that wrote the record, and Renewal the number of the
	// renewal that it wrote next.
	Term    uint64 `cbor:"1,keyasint"`
	Renewal uint64 `cbor:"2,keyasint"`
	// Bound, if set, bounds the worker's leases.
	Bound *WorkerLease `cbor:"3,keyasint,omitempty"`
	// Long is set if a lease may be the longest that the worker accepts, since a restart may
	// have changed or has changed its clock.
	Long bool `cbor:"4,keyasint,omitempty"`
	// Unseen is set if the coordinator may have sent a start that no list of runs accounts
	// for. An unseen restart may execute it late.
	Unseen bool `cbor:"5,keyasint,omitempty"`
}

// Precedes reports whether the record was written before the newest renewal of a claim.
func (l *RecordedLease) Precedes(c *Claim) bool { return l.Term == c.Term && l.Renewal <= c.Renewal }

// kindLease is the first byte of the key of a worker's recorded lease.
const kindLease = 'w'

// LeaseRecord returns the record of a worker's leases.
func LeaseRecord(worker string, l *RecordedLease) (Record, error) {
	return encode(kindLease, worker, l)
}

// DropLeaseRecord returns the record that deletes what is recorded of a worker's leases.
func DropLeaseRecord(worker string) Record { return Record{Key: string(kindLease) + worker} }

// Apply adds a record to ls if it is of a lease. A record that cannot be decoded is an error, and
// the worker's leases then count as the longest.
func (ls Leases) Apply(r Record) error {
	if r.Key == "" || r.Key[0] != kindLease {
		return nil
	}
	id := r.Key[1:]
	if len(r.Value) == 0 {
		delete(ls, id)
		return nil
	}
	var l *RecordedLease
	if err := decode(r.Value, &l); err != nil {
		ls[id] = RecordedLease{Long: true, Unseen: true}
		return errors.Wrapf(err, "decode the lease of worker %q", id)
	}
	ls[id] = *l
	return nil
}

// fenceKey is the key of the record with which a coordinator fences the partition.
const fenceKey = "f"

// kindDetail is the first byte of the key of a job's detail record.
const kindDetail = 't'

// FenceRecord returns the record that a new coordinator writes before it reads the
// details, so that an earlier one cannot write any more.
func FenceRecord(c *Claim) (Record, error) {
	r, err := encode(kindClaim, "", c)
	r.Key = fenceKey
	return r, err
}

// DetailRecord returns the record of a job's progress with its tasks.
func DetailRecord(id string, p *jobspec.Progress) (Record, error) { return encode(kindDetail, id, p) }

// DropDetailRecord returns the record that deletes the details of a job.
func DropDetailRecord(id string) Record { return Record{Key: string(kindDetail) + id} }

// Apply adds a record to d. Records may come in any order. After an error, which other
// records need not mind, the job of the record has progress that fits no job: its tasks
// are not known, so that they must neither start again nor count as done.
func (d Details) Apply(r Record) error {
	switch {
	case r.Key == fenceKey || len(r.Value) == 0 || r.Key != "" && (r.Key[0] == kindLease || r.Key[0] == kindCheckpoints || r.Key[0] == kindPace):
		return nil
	case r.Key == "" || r.Key[0] != kindDetail:
		return errors.Newf("a record with the key %q is not a detail record", r.Key)
	}
	var p *jobspec.Progress
	if err := decode(r.Value, &p); err != nil {
		d[r.Key[1:]] = &jobspec.Progress{Occurrences: jobspec.Occurrences{{}}}
		return errors.Wrapf(err, "decode the details of job %q", r.Key[1:])
	}
	d[r.Key[1:]] = p
	return nil
}
