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
	// KeepEnded is how long ended jobs are kept, in milliseconds of log time.
	EndedJobRetention = 24 * 3600 * 1000
	// KeepOnce is how long the keys of once-only jobs are kept, in
	// milliseconds of log time.
	OnceKeyRetention = 7 * 24 * 3600 * 1000
	// KeepIncarnation is how long the sequence of a silent incarnation is
	// kept, in milliseconds of log time.
	IncarnationRetention = 24 * 3600 * 1000
	// KeepVersions is the number of past changes kept for the history.
	MaxHistory = 256
	// maxTimeStep bounds how far one record may advance the log time, in
	// milliseconds, so that one wrong clock cannot age everything.
	maxTimeStep = 60_000
	// pruneEvery is the number of offsets between two prunings. It goes by the
	// offset, so that a host restored from a snapshot prunes like the others.
	pruneInterval = 256
)

// State is the state of a job.
type State string

// The states of a job.
const (
	// Queued jobs wait for a place.
	Queued State = "queued"
	// Placed jobs have a place; their members may be running.
	Placed State = "placed"
	// Finished jobs have an outcome.
	Finished State = "ended"
)

// Job is a recorded job.
type Job struct {
	ID         string
	Spec       job.Spec
	Digest     string
	DataCentre string
	State      State
	// Attempt is the number of the current or last attempt, from 1.
	Attempt int
	// Members is set while the job is placed.
	Members []record.Member
	// Guaranteed is set while the job is placed within a guarantee.
	Guaranteed bool
	// Abstract lists the cells of the guarantee in use while Guaranteed.
	VirtualCells []rack.Cell `cbor:"Abstract"`
	// Started is set once an attempt may have started a member.
	MayHaveStarted bool `cbor:"Started"`
	// Checkpointed is set when the last attempt saved its progress.
	Checkpointed bool
	// Cancelled names who cancelled the job.
	CancelledBy string `cbor:"Cancelled"`
	// FailedOn lists the workers on which the job failed, without repeats.
	FailedOn []string
	// Outcome is set when State is Finished.
	Outcome job.Outcome
	// Accepted, PlacedAt and EndedAt are offsets in the log.
	AcceptedOffset uint64 `cbor:"Accepted"`
	PlacedOffset   uint64 `cbor:"PlacedAt"`
	EndedOffset    uint64 `cbor:"EndedAt"`
	// AcceptedTime and EndedTime are log times, in Unix milliseconds.
	AcceptedTime, EndedTime int64
}

// Worker is a known worker.
type Worker struct {
	record.Worker
	// FailedJobs lists the distinct jobs that failed there since the last
	// success.
	FailedJobs []string
	// Failures counts the failures there since the last success, also of jobs
	// that FailedJobs lists already or has no room for.
	Failures int
}

// Term is the placer role of a data centre.
type Term struct {
	Term        uint64
	Host        string
	Incarnation string
}

// Version is an entry of the configuration's history.
type Version struct {
	Version uint64       `json:"version"`
	Patch   config.Patch `json:"patch"`
	Host    string       `json:"host"`
	At      int64        `json:"at"`
	Offset  uint64       `json:"offset"`
}

// Key is the memory of a request key.
type KeyEntry struct {
	Job    string
	Digest string
	Once   bool
	// Outcome outlives the job.
	Outcome   job.Outcome
	EndedTime int64 `cbor:"EndedAt"`
}

// Sequence is the last record seen of an incarnation.
type Sequence struct {
	Last uint64
	At   int64
}

// Ledger is the replicated state. The zero value is the state before the first
// record. A Ledger must not be used by two goroutines at once.
type Ledger struct {
	// Next is the offset of the first record that was not applied.
	Next uint64
	// Time is the log time, in Unix milliseconds. It never goes back.
	Time int64
	// Config only ever moves to the next version.
	Config config.Config
	// History holds the last KeepVersions changes, oldest first.
	History []Version
	// Workers is keyed by name.
	Workers map[string]*Worker
	// Jobs is keyed by ID.
	Jobs map[string]*Job
	// Keys is keyed by organisation, a slash and the request key.
	Keys map[string]*KeyEntry
	// Terms is keyed by data centre. A term only ever grows.
	Terms map[string]Term
	// Sequences is keyed by incarnation.
	Sequences map[string]Sequence
	// Learned is keyed by organisation, a slash and the class.
	RunStats map[string]*RunStats `cbor:"Learned"`

	// open is derived from Jobs: those without an outcome.
	open map[string]*Job
	// names is derived from Workers: the sorted names per data centre.
	names map[string][]string
	// yards is derived from the fields above and keyed by data centre.
	cellTables map[string]*cellTable
}

// Verdict is what Apply decided about a record.
type Verdict struct {
	// Repeat is set when the record was dropped as a repeat.
	Repeat bool
	// Err is nil when the record was accepted.
	Err error
	// Job is the job that the record concerns, also when an Accept met a known
	// key; nil for none.
	Job *Job
	// Known is set when an Accept met a known key with the same digest. Job
	// may be nil then, and Key holds the outcome.
	KnownKey bool
	Key      *KeyEntry
	// Ended is set when the record ended Job.
	Ended bool
	// Version is the version that an accepted patch yielded.
	Version uint64
}

// Apply applies the record at the given offset. Batches share one offset, so
// Next is advanced by the caller through Advance.
func (l *Ledger) Apply(offset uint64, r record.Record) Verdict {
	l.init()
	if l.Sequences[r.Incarnation].Last >= r.Sequence {
		return Verdict{Repeat: true}
	}
	l.advanceTime(r.At)
	l.Sequences[r.Incarnation] = Sequence{Last: r.Sequence, At: l.Time}
	return l.apply(offset, &r)
}

// Advance moves Next past offset once all records of its batch were applied.
func (l *Ledger) Advance(offset uint64) {
	if offset < l.Next {
		return
	}
	l.Next = offset + 1
	if l.Next%pruneInterval == 0 {
		l.prune()
	}
}

// apply dispatches on the body.
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

// init makes the maps of a zero Ledger.
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

// advanceTime moves the log time towards at.
func (l *Ledger) advanceTime(at int64) {
	if l.Time == 0 {
		l.Time = at
		return
	}
	if at > l.Time {
		l.Time = min(at, l.Time+maxTimeStep)
	}
}

// prune forgets what is older than its time.
func (l *Ledger) prune() {
	maps.DeleteFunc(l.Jobs, func(_ string, j *Job) bool {
		return j.State == Finished && l.Time-j.EndedTime > EndedJobRetention
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

// JobIDs returns the IDs of all jobs in the given state in order of acceptance.
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

// WorkerNames returns the names of the workers of data centre dc in order. The
// caller must not change the slice.
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

// OpenJobs returns the jobs without an outcome. The caller must not change the
// map.
func (l *Ledger) OpenJobs() map[string]*Job {
	l.init()
	return l.open
}

// compareJobs orders jobs by acceptance.
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
