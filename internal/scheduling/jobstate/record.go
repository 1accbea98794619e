package jobstate

import (
	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/wire"
)

// Record is one record of the partition. A record without a value drops its key.
type Record struct {
	Key   string
	Value []byte
}

// The first byte of a key tells the kind of the record; the rest is the job's ID.
const (
	kindAccepted  = 'a'
	kindCancelled = 'c'
	kindProgress  = 's'
	kindClaim     = 'l'
	kindExit      = 'd'
)

// Claim is the coordinator's word that it holds the role.
type Claim struct {
	// Term is one more than the record's offset, and zero for nobody.
	Term uint64 `cbor:"-"`
	// Host and Incarnation name the process.
	Host        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Pulse counts the records by which the coordinator shows that it lives.
	Renewal uint64 `cbor:"3,keyasint,omitempty"`
	// Of is the term that a pulse belongs to; 0 for the claim itself.
	RenewedTerm uint64 `cbor:"4,keyasint,omitempty"`
	// Sole is set once no earlier coordinator can renew a lease any more.
	SoleLeader bool `cbor:"6,keyasint,omitempty"`
	// Resigned is set once the coordinator has stopped coordinating.
	Resigned bool `cbor:"5,keyasint,omitempty"`
}

// Accepted returns the record of an accepted job.
func AcceptedRecord(s *jobspec.Spec) (Record, error) { return encode(kindAccepted, s.ID, s) }

// Ended returns the records of an ended job, which take the place of its acceptance
// and of its progress: hosts that start read the newest records of all jobs.
func EndedRecords(s *jobspec.Spec, p *jobspec.Progress) ([]Record, error) {
	progress, err := ProgressRecord(s.ID, p)
	if err != nil {
		return nil, err
	}
	summary, err := s.Summary()
	if err != nil {
		return nil, err
	}
	record, err := AcceptedRecord(&summary)
	// The progress comes first: an outline alone would be taken for a job with no work.
	return []Record{progress, record}, err
}

// Cancelled returns the record of a cancellation.
func CancelledRecord(id string) Record {
	return Record{Key: string(kindCancelled) + id, Value: []byte{1}}
}

// Advanced returns the record of a job's progress without that of its tasks.
func ProgressRecord(id string, p *jobspec.Progress) (Record, error) {
	short := *p
	short.Occurrences, short.Abandoned = nil, nil
	return encode(kindProgress, id, &short)
}

// Claimed returns the record of a claim or a pulse.
func ClaimRecord(c *Claim) (Record, error) { return encode(kindClaim, "", c) }

// Departure tells that the process that coordinated under a term has ended.
type Exit struct {
	Term uint64 `cbor:"1,keyasint"`
}

// Departed returns the record of a departure.
func ExitRecord(d *Exit) (Record, error) { return encode(kindExit, "", d) }

// Forgotten returns the records that drop a job.
func DropRecords(id string) []Record {
	return []Record{
		{Key: string(kindAccepted) + id}, {Key: string(kindCancelled) + id}, {Key: string(kindProgress) + id},
	}
}

func encode(kind byte, id string, v any) (Record, error) {
	b, err := wire.Encode(v)
	if err != nil {
		return Record{}, errors.Wrapf(err, "record of %q", id)
	}
	return Record{Key: string(kind) + id, Value: b}, nil
}
