package ledger

import (
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

const (
	// EndedJobRetention is how long ended jobs are kept, in milliseconds of log
	// time.
	EndedJobRetention = 24 * 3600 * 1000
	// OnceKeyRetention is how long the request key of an at-most-once job is kept
	// after the job has ended, in milliseconds of log time.
	OnceKeyRetention = 7 * 24 * 3600 * 1000
	// IncarnationRetention is how long the last sequence number of an incarnation
	// is kept after its last record, in milliseconds of log time.
	IncarnationRetention = 24 * 3600 * 1000
	// MaxHistory is the maximum number of entries in Ledger.History.
	MaxHistory = 256
	// MaxHistoryBytes bounds the patches in Ledger.History, in bytes.
	MaxHistoryBytes = 1 << 20
	// MaxRunStats is the number of entries in Ledger.RunStats beyond which only configured
	// classes are added: callers choose the names of classes, and no entry is ever deleted.
	MaxRunStats = 4096
	// maxTimeStep is the maximum advance of the log time by one record, in
	// milliseconds, so that a host with a wrong clock cannot expire everything at
	// once.
	maxTimeStep = 60_000
	// pruneInterval is the number of offsets between two calls of prune. It counts
	// offsets so that a host restored from a snapshot prunes at the same records as
	// the others.
	pruneInterval = 256
)

// State is the state of a job.
type State string

// The states of a job.
const (
	// Queued jobs wait for a placement.
	Queued State = "queued"
	// Placed jobs hold cells; their members may be running.
	Placed State = "placed"
	// Finished jobs have an outcome.
	Finished State = "ended"
)

// Job is the state of an accepted job.
type Job struct {
	ID   string
	Spec job.Spec
	// Digest is the digest of Spec.
	Digest     string
	DataCentre string
	State      State
	// Attempt is the number of the current or last attempt, starting at 1; 0 before
	// the first one.
	Attempt int
	// Members holds the placements of the members while the job is placed.
	Members []record.Member
	// Guaranteed is set while the job is placed within its organisation's
	// guarantee.
	Guaranteed bool
	// VirtualCells lists the virtual cells of the guarantee that the job uses while
	// Guaranteed is set.
	VirtualCells []rack.Cell `cbor:"Abstract"`
	// MayHaveStarted is set when an attempt that may have started a member is
	// requeued or lost with its data centre.
	MayHaveStarted bool `cbor:"Started"`
	// Checkpointed is set when the last attempt that may have started a member
	// saved its progress.
	Checkpointed bool
	// CancelledBy names who cancelled the job; empty if nobody did.
	CancelledBy string `cbor:"Cancelled"`
	// FailedOn lists the distinct workers on which the job failed.
	FailedOn []string
	// Outcome is set when State is Finished.
	Outcome job.Outcome
	// AcceptedOffset, PlacedOffset and EndedOffset are the log offsets of the
	// records that accepted, last placed and ended the job.
	AcceptedOffset uint64 `cbor:"Accepted"`
	PlacedOffset   uint64 `cbor:"PlacedAt"`
	EndedOffset    uint64 `cbor:"EndedAt"`
	// AcceptedTime and EndedTime are log times, in Unix milliseconds.
	AcceptedTime, EndedTime int64
}

// Worker is the recorded state of a worker with its failures.
type Worker struct {
	record.Worker
	// FailedJobs lists distinct jobs that failed on the worker since a job last
	// succeeded there. It holds at most maxFailedJobs.
	FailedJobs []string
	// Failures counts all failures on the worker since a job last succeeded there,
	// including those of jobs that FailedJobs already lists or cannot hold.
	Failures int
}

// Term records which host holds the placer role of a data centre.
type Term struct {
	Term        uint64
	Host        string
	Incarnation string
}

// Version is one entry of the configuration history.
type Version struct {
	Version uint64       `json:"version"`
	Patch   config.Patch `json:"patch"`
	// Host, At and Offset belong to the record of the patch: the host that wrote
	// it, the clock of that host in Unix milliseconds, and the log offset.
	Host   string `json:"host"`
	At     int64  `json:"at"`
	Offset uint64 `json:"offset"`
	// Size is the size of the encoded patch, in bytes; 0 for one of an earlier version of the
	// program.
	Size int64 `json:"-" cbor:",omitempty"`
}

// KeyEntry is the state kept for a request key.
type KeyEntry struct {
	// Job is the ID of the job that was accepted under the key.
	Job string
	// Digest is the digest of the job's spec.
	Digest string
	// Once is set for an at-most-once job.
	Once bool
	// Outcome is the outcome of the job, kept after the job itself is pruned.
	Outcome job.Outcome
	// EndedTime is the log time at which the job ended, in Unix milliseconds.
	EndedTime int64 `cbor:"EndedAt"`
}

// Sequence identifies the last applied record of an incarnation.
type Sequence struct {
	// Last is the sequence number of the record.
	Last uint64
	// At is the log time at which it was applied, in Unix milliseconds.
	At int64
}

// Ledger is the replicated state. The zero value is the state before the first
// record. A Ledger is not safe for concurrent use.
type Ledger struct {
	// Next is the offset of the first record that has not been applied.
	Next uint64
	// Time is the log time, in Unix milliseconds. It never decreases.
	Time int64
	// Config is the current configuration. Each accepted patch increments its
	// version by one.
	Config config.Config
	// History holds the last MaxHistory versions, oldest first.
	History []Version
	// Workers is keyed by name.
	Workers map[string]*Worker
	// Jobs is keyed by ID.
	Jobs map[string]*Job
	// Keys is keyed by organisation, a slash and the request key.
	Keys map[string]*KeyEntry
	// Terms is keyed by data centre. The term of a data centre never decreases.
	Terms map[string]Term
	// Sequences is keyed by incarnation.
	Sequences map[string]Sequence
	// RunStats is keyed by organisation, a slash and the class.
	RunStats map[string]*RunStats `cbor:"Learned"`

	// open is derived from Jobs and holds the jobs without an outcome.
	open map[string]*Job
	// used is derived from Jobs, and usedBy as well, by organisation.
	used   Usage
	usedBy map[string]Usage
	// names is derived from Workers and caches the sorted worker names per data
	// centre.
	names map[string][]string
	// cellTables is derived from the fields above and keyed by data centre.
	cellTables map[string]*cellTable
}

// Verdict is the result of applying a record.
type Verdict struct {
	// Repeat is set when the record was dropped because it had already been
	// applied.
	Repeat bool
	// Err is the reason for rejecting the record; nil if it was accepted.
	Err error
	// Job is the job that the record refers to, or the existing job of the key of
	// an Accept; nil if there is none.
	Job *Job
	// KnownKey is set when an Accept has a known request key and the same digest.
	// Key is set then. Job is nil if the job has been pruned; Key still holds its
	// outcome.
	KnownKey bool
	Key      *KeyEntry
	// Ended is set when the record gave Job its outcome.
	Ended bool
	// Version is the configuration version created by an accepted patch.
	Version uint64
}

// Apply applies the record at the given offset. It drops a record whose sequence
// number does not exceed the last one of its incarnation. All records of a batch
// share one offset; the caller advances Next by calling Advance after the last of
// them.
func (l *Ledger) Apply(offset uint64, r record.Record) Verdict {
	l.init()
	if l.Sequences[r.Incarnation].Last >= r.Sequence {
		return Verdict{Repeat: true}
	}
	l.advanceTime(r.At)
	l.Sequences[r.Incarnation] = Sequence{Last: r.Sequence, At: l.Time}
	return l.apply(offset, &r)
}

// Advance moves Next past offset. The caller calls it once all records of the
// batch at offset have been applied.
func (l *Ledger) Advance(offset uint64) {
	if offset < l.Next {
		return
	}
	l.Next = offset + 1
	if l.Next%pruneInterval == 0 {
		l.prune()
	}
}

// apply applies r according to its body.
func (l *Ledger) apply(offset uint64, r *record.Record) Verdict {
	switch {
	case r.Patch != nil:
		return l.applyPatch(offset, r)
	case r.Accept != nil:
		return l.applyAccept(offset, r.Accept)
	case r.Place != nil:
		return l.applyPlace(offset, r)
	case r.Requeue != nil:
		return l.applyRequeue(offset, r)
	case r.End != nil:
		return l.applyEnd(offset, r)
	case r.Cancel != nil:
		return l.applyCancel(offset, r.Cancel)
	case r.Claim != nil:
		return l.applyClaim(r)
	case r.Worker != nil:
		return l.applyWorker(r)
	default:
		return Verdict{Err: fault.New(fault.Invalid, "the record has no body", "check which program wrote it")}
	}
}

// init initialises the maps of a zero Ledger and the derived fields of a decoded
// one.
func (l *Ledger) init() {
	if l.Jobs != nil && l.cellTables != nil {
		return
	}
	if l.Jobs == nil {
		l.Config = l.Config.Clone()
		l.Workers = map[string]*Worker{}
		l.Jobs = map[string]*Job{}
		l.Keys = map[string]*KeyEntry{}
		l.Terms = map[string]Term{}
		l.Sequences = map[string]Sequence{}
		l.RunStats = map[string]*RunStats{}
	}
	l.rebuild()
}

// advanceTime advances the log time to at, but by at most maxTimeStep. The first
// record sets the log time without this limit.
func (l *Ledger) advanceTime(at int64) {
	if l.Time == 0 {
		l.Time = at
		return
	}
	if at > l.Time {
		l.Time = min(at, l.Time+maxTimeStep)
	}
}

// prune deletes the jobs, request keys and sequences whose retention has expired.
// A key is kept at least as long as its job; only that of an at-most-once job is
// kept longer.
func (l *Ledger) prune() {
	maps.DeleteFunc(l.Jobs, func(_ string, j *Job) bool {
		expired := j.State == Finished && l.Time-j.EndedTime > EndedJobRetention
		if expired {
			l.use(j.Spec.Organisation, Usage{Jobs: -1})
		}
		return expired
	})
	maps.DeleteFunc(l.Keys, func(_ string, k *KeyEntry) bool {
		if _, ok := l.Jobs[k.Job]; ok {
			return false
		}
		return !k.Once || l.Time-k.EndedTime > OnceKeyRetention
	})
	maps.DeleteFunc(l.Sequences, func(_ string, s Sequence) bool {
		return l.Time-s.At > IncarnationRetention
	})
}

// JobIDs returns the IDs of the jobs in state s, in order of acceptance.
func (l *Ledger) JobIDs(s State) []string {
	from := l.open
	if s == Finished {
		from = l.Jobs
	}
	var ids []string
	for id, j := range from {
		if j.State == s {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return l.compareJobs(l.Jobs[a], l.Jobs[b]) })
	return ids
}

// WorkerNames returns the sorted names of the workers of data centre dc. The
// caller must not modify the slice.
func (l *Ledger) WorkerNames(dc string) []string {
	l.init()
	if names, ok := l.names[dc]; ok {
		return names
	}
	var names []string
	for n, w := range l.Workers {
		if w.DataCentre == dc {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	l.names[dc] = names
	return names
}

// OpenJobs returns the jobs without an outcome, keyed by ID. The caller must not
// modify the map.
func (l *Ledger) OpenJobs() map[string]*Job {
	l.init()
	return l.open
}

// Usage is the memory that jobs take.
type Usage struct {
	// Jobs is the number of jobs, open and ended ones.
	Jobs int
	// PayloadBytes is the size of the payloads of the open ones, in bytes.
	PayloadBytes int64
}

// Add returns the sum of u and v.
func (u Usage) Add(v Usage) Usage { return Usage{u.Jobs + v.Jobs, u.PayloadBytes + v.PayloadBytes} }

// Usage returns what the jobs of an organisation take, and what all jobs take.
func (l *Ledger) Usage(org string) (own, all Usage) {
	l.init()
	return l.usedBy[org], l.used
}

// use adds u to what the jobs of an organisation take.
func (l *Ledger) use(org string, u Usage) {
	l.used, l.usedBy[org] = l.used.Add(u), l.usedBy[org].Add(u)
}

// compareJobs orders jobs by the offset of their acceptance, then by ID.
func (l *Ledger) compareJobs(a, b *Job) int {
	if a.AcceptedOffset != b.AcceptedOffset {
		if a.AcceptedOffset < b.AcceptedOffset {
			return -1
		}
		return 1
	}
	if a.ID < b.ID {
		return -1
	}
	if a.ID > b.ID {
		return 1
	}
	return 0
}
