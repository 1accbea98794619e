package jobstate

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/wire"
)

// Record is a record of the partition. A record without a value deletes its key.
type Record struct {
	Key   string
	Value []byte
}

// Size returns what the record takes in the store beside its length, in bytes.
func (r *Record) Size() int { return 1 + len(r.Key) + len(r.Value) }

// JobID returns the ID of the job that the record is of; empty if it is of none.
func (r *Record) JobID() string {
	if r.Key == "" {
		return ""
	}
	switch r.Key[0] {
	case kindAccepted, kindCancelled, kindProgress, kindDetail:
		return r.Key[1:]
	case kindCheckpoints:
		_, id, _ := strings.Cut(r.Key, ":")
		return id
	}
	return ""
}

// The first byte of a key is the kind of the record; the rest is the job's ID.
const (
	kindAccepted  = 'a'
	kindCancelled = 'c'
	kindProgress  = 's'
	kindClaim     = 'l'
	kindExit      = 'd'
)

// Claim states that a process holds the coordinator's role, or has resigned from it.
type Claim struct {
	// Term is one more than the offset of the first record of the claim; 0 for no claim.
	Term uint64 `cbor:"-"`
	// Host and Incarnation identify the process.
	Host        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Renewal is the number of the renewal, which shows that the coordinator is alive.
	Renewal uint64 `cbor:"3,keyasint,omitempty"`
	// RenewedTerm is the term that a renewal or resignation belongs to; 0 for the claim
	// itself.
	RenewedTerm uint64 `cbor:"4,keyasint,omitempty"`
	// SoleLeader is set once no earlier coordinator can renew a worker's lease any more.
	SoleLeader bool `cbor:"6,keyasint,omitempty"`
	// Predecessors holds the earlier coordinators that may still renew leases, with the
	// newest term of each host. It is empty if SoleLeader is set or they are not known.
	Predecessors []Holder `cbor:"7,keyasint,omitempty"`
	// Resigned is set once the coordinator has resigned.
	Resigned bool `cbor:"5,keyasint,omitempty"`
	// Leases and LongLeases are written by hosts of earlier versions, which record no
	// RecordedLease, and by the host that takes over from one until its first renewal: the
	// workers with runs whose leases end sooner than any lease may, and those whose leases
	// may be the longest that they accept.
	Leases     []WorkerLease `cbor:"8,keyasint,omitempty"`
	LongLeases []string      `cbor:"10,keyasint,omitempty"`
	// EarlierBoundedLeases is BoundedLeases as written by hosts of earlier versions. It is
	// not set any more, since such a host must not take the lists above as complete.
	EarlierBoundedLeases bool `cbor:"9,keyasint,omitempty"`
	// BoundedLeases is set if no lease of this coordinator and those in Predecessors outlasts
	// the validity of its claim, except as the recorded leases say.
	BoundedLeases bool `cbor:"11,keyasint,omitempty"`
	// Backlogs holds the routes whose jobs wait for long. Hosts turn away what can't be served in its
	// time.
	Backlogs []Backlog `cbor:"12,keyasint,omitempty"`
}

// Backlog is how long the jobs of a route wait before they begin.
type Backlog struct {
	Route string `cbor:"1,keyasint"`
	// Wait is in milliseconds.
	Wait int64 `cbor:"2,keyasint"`
}

// LeasesBounded reports whether no lease of the claim's coordinator and earlier ones outlasts
// the validity of their claims. That holds if there is no claim.
func (c *Claim) LeasesBounded() bool {
	return c.Term == 0 || c.BoundedLeases || c.EarlierBoundedLeases
}

// WorkerLease bounds the leases that a worker has from this coordinator and all earlier
// ones, if its record is the last one.
type WorkerLease struct {
	Worker string `cbor:"1,keyasint"`
	// Left is the time after the writing of the record or claim at which the lease has ended,
	// on the worker's clock, in milliseconds.
	Left int64 `cbor:"2,keyasint"`
	// MaybeUnseen is set if that may be the lease of a lifetime that the coordinator has not
	// seen, which is bounded by Left alone.
	MaybeUnseen bool `cbor:"3,keyasint,omitempty"`
}

// ActiveTerm returns the newest term in which a host may still coordinate according to the
// claim; 0 for none.
func (c *Claim) ActiveTerm(host string) uint64 {
	if c.Host == host {
		if c.Resigned {
			return 0
		}
		return c.Term
	}
	for _, p := range c.Predecessors {
		if p.Host == host {
			return p.Term
		}
	}
	return 0
}

// Holder is a host that held the coordinator's role, and its term.
type Holder struct {
	Host string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
}

// AcceptedRecord returns the record of an accepted job.
func AcceptedRecord(s *jobspec.Spec) (Record, error) { return encode(kindAccepted, s.ID, s) }

// EndedRecords returns the records of an ended job. They replace its acceptance and its
// progress by shorter ones, since a starting host reads the newest records of all jobs.
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
	// The progress comes first, because a job with a summary but without a recorded end
	// would look like an open job with no steps.
	return []Record{progress, record}, err
}

// CancelledRecord returns the record of a cancellation.
func CancelledRecord(id string) Record {
	return Record{Key: string(kindCancelled) + id, Value: []byte{1}}
}

// ProgressRecord returns the record of a job's progress without that of its tasks.
func ProgressRecord(id string, p *jobspec.Progress) (Record, error) {
	short := *p
	short.Occurrences, short.Abandoned = nil, nil
	return encode(kindProgress, id, &short)
}

// ClaimRecord returns the record of a claim, a renewal or a resignation.
func ClaimRecord(c *Claim) (Record, error) { return encode(kindClaim, "", c) }

// Exit states that a host has stopped coordinating in a term and all earlier ones, or never
// began to. The host writes it when it has lost the role to another, or after a restart.
type Exit struct {
	// Host is in the key, so that the newest exit of each host is kept.
	Host string `cbor:"-"`
	Term uint64 `cbor:"1,keyasint"`
}

// ExitRecord returns the record of an exit.
func ExitRecord(e *Exit) (Record, error) { return encode(kindExit, e.Host, e) }

// DropRecords returns the records that delete a job.
func DropRecords(id string) []Record {
	return []Record{
		{Key: string(kindAccepted) + id}, {Key: string(kindCancelled) + id}, {Key: string(kindProgress) + id},
	}
}

func encode(kind byte, id string, v any) (Record, error) {
	b, err := wire.Encode(v)
	if err != nil {
		return Record{}, errors.Wrapf(err, "encode the record of job %q", id)
	}
	return Record{Key: string(kind) + id, Value: b}, nil
}
