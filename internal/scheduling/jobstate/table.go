package jobstate

import (
	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/wire"
)

// Job is the recorded state of one job.
type Job struct {
	// Spec is nil until the record of the acceptance has been read.
	Spec *jobspec.Spec
	// Progress is nil until the coordinator has written some.
	Progress *jobspec.Progress
	// Cancelled is set once a cancellation has been accepted.
	Cancelled bool
	// EndSeenAt is Table.Now as of when the recorded end was first applied. It means nothing
	// before Progress has an end.
	EndSeenAt int64

	// specAt, progressAt and cancelAt are one more than the offsets of the records last
	// applied; 0 for none.
	specAt, progressAt, cancelAt uint64
}

// State returns the state that is reported to callers.
func (j *Job) State() jobspec.State {
	switch {
	case j.ended():
		return j.Progress.State
	case j.Cancelled:
		return jobspec.Cancelled
	case j.Progress != nil && j.Progress.Started:
		return jobspec.Running
	}
	return jobspec.Queued
}

// ended reports whether the recorded progress has an end.
func (j *Job) ended() bool { return j.Progress != nil && j.Progress.State.Ended() }

// Change describes what a record changed.
type Change struct {
	// Job is the ID of the job that changed; empty for none.
	Job string
	// ClaimChanged is set for a claim, a renewal or a resignation.
	ClaimChanged bool
	// ExitRecorded is set when a term in Table.Exits has increased.
	ExitRecorded bool
}

// Table is the replicated state of all jobs. The zero value is empty and ready to use. It
// is not safe for concurrent use.
type Table struct {
	// Jobs is by ID. It has every job of which a record exists.
	Jobs map[string]*Job
	// SpecBytes is the memory of the specs of Jobs, in bytes.
	SpecBytes int64
	// Claim is the newest claim, renewal or resignation. Renewals is the number of such
	// records that were applied.
	Claim    Claim
	Renewals uint64
	// Exits holds, by host, the highest term in which the host has stopped coordinating.
	Exits map[string]uint64
	// NextOffset is the offset of the next record to apply. The caller advances it.
	NextOffset uint64
	// Now is the time at which the next record is applied, on a steady clock of the host. The
	// caller advances it.
	Now int64

	// claimAt is one more than the offset of the record of Claim.
	claimAt uint64
	// endsSeen holds the ends that were known at the last Reset and were not read again yet.
	endsSeen map[string]endSeen
}

// endSeen tells when the end of a job was first applied. progressAt identifies its record, since
// another job may have the ID of one that was dropped.
type endSeen struct {
	progressAt uint64
	at         int64
}

// Reset empties t. It precedes another read of the newest records of all keys. An end that is
// read again keeps its time.
func (t *Table) Reset() {
	ends := make(map[string]endSeen)
	for id, j := range t.Jobs {
		if j.ended() {
			ends[id] = endSeen{progressAt: j.progressAt, at: j.EndSeenAt}
		}
	}
	*t = Table{Now: t.Now, endsSeen: ends}
}

// Apply applies the record at an offset. Records may be repeated and, while the newest
// ones are read, arrive out of order; for each key the record with the highest offset
// wins. A record that cannot be decoded changes nothing and is an error.
func (t *Table) Apply(offset uint64, r Record) (Change, error) {
	if r.Key == "" {
		return Change{}, errors.Newf("the record at offset %d has no key", offset)
	}
	at := offset + 1
	kind, id := r.Key[0], r.Key[1:]
	if kind == kindClaim {
		return t.applyClaim(at, r.Value)
	}
	if kind == kindExit {
		return t.applyExit(at, id, r.Value)
	}
	j := t.job(id)
	defer t.dropEmpty(id, j)
	switch kind {
	case kindAccepted:
		if at <= j.specAt {
			return Change{}, nil
		}
		var s *jobspec.Spec
		err := decode(r.Value, &s)
		if err == nil {
			err = checkAcceptance(id, s)
		}
		if err != nil {
			return Change{}, errors.Wrapf(err, "decode the acceptance of job %q at offset %d", id, offset)
		}
		// The first acceptance is kept, since a repeat is the same request, until the
		// summary of the ended job replaces it.
		if j.Spec == nil || s == nil || s.IsSummary() {
			t.SpecBytes += specBytes(s) - specBytes(j.Spec)
			j.Spec = s
		}
		j.specAt = at
	case kindCancelled:
		if at <= j.cancelAt {
			return Change{}, nil
		}
		j.Cancelled, j.cancelAt = len(r.Value) > 0, at
	case kindProgress:
		if at <= j.progressAt {
			return Change{}, nil
		}
		var p *jobspec.Progress
		if err := decode(r.Value, &p); err != nil {
			return Change{}, errors.Wrapf(err, "decode the progress of job %q at offset %d", id, offset)
		}
		t.setProgress(id, j, p, at)
	default:
		return Change{}, errors.Newf("the record at offset %d has the unknown kind %q", offset, kind)
	}
	return Change{Job: id}, nil
}

func specBytes(s *jobspec.Spec) int64 {
	if s == nil {
		return 0
	}
	return s.Size()
}

// setProgress applies the progress of a job. at is one more than the offset of its record.
func (t *Table) setProgress(id string, j *Job, p *jobspec.Progress, at uint64) {
	wasEnded := j.ended()
	j.Progress, j.progressAt = p, at
	if !j.ended() || wasEnded {
		return
	}
	j.EndSeenAt = t.Now
	if seen, ok := t.endsSeen[id]; ok && seen.progressAt == at {
		j.EndSeenAt = seen.at
	}
	delete(t.endsSeen, id)
}

// checkAcceptance returns an error if s, which may be nil, is not an acceptance of the job
// with the given ID. Hosts write validated ones only; the coordinator relies on it.
func checkAcceptance(id string, s *jobspec.Spec) error {
	if s == nil {
		return nil
	}
	if s.ID != id {
		return errors.Newf("it is that of job %.255q", s.ID)
	}
	if s.IsSummary() {
		return nil
	}
	return s.Validate()
}

// applyClaim applies a claim, a renewal or a resignation. at is one more than its offset.
func (t *Table) applyClaim(at uint64, value []byte) (Change, error) {
	if at <= t.claimAt {
		return Change{}, nil
	}
	var c *Claim
	if err := decode(value, &c); err != nil {
		return Change{}, errors.Wrapf(err, "decode the claim at offset %d", at-1)
	}
	if c == nil {
		return Change{}, errors.Newf("the claim at offset %d is empty", at-1)
	}
	c.Term = at
	if c.RenewedTerm != 0 {
		c.Term = c.RenewedTerm
	}
	t.Claim, t.claimAt = *c, at
	t.Renewals++
	return Change{ClaimChanged: true}, nil
}

// applyExit applies a host's exit. at is one more than the offset of the record.
func (t *Table) applyExit(at uint64, host string, value []byte) (Change, error) {
	var e *Exit
	if err := decode(value, &e); err != nil {
		return Change{}, errors.Wrapf(err, "decode the exit record at offset %d", at-1)
	}
	if e == nil || e.Term <= t.Exits[host] {
		return Change{}, nil
	}
	if t.Exits == nil {
		t.Exits = make(map[string]uint64)
	}
	t.Exits[host] = e.Term
	return Change{ExitRecorded: true}, nil
}

// ActiveHolders returns the coordinator of a claim and all earlier ones, except those that
// have certainly stopped sending orders: they have resigned or exited, or were on the
// calling host, which coordinates in one term after the other. known is false if the
// claim does not tell who the earlier ones were.
func (t *Table) ActiveHolders(c *Claim, host string) (active []Holder, known bool) {
	if c.Term == 0 {
		return nil, true
	}
	if !c.SoleLeader && len(c.Predecessors) == 0 {
		return nil, false
	}
	for _, p := range c.Predecessors {
		// The exit from a host's newer term covers its older ones.
		if p.Host != c.Host && !t.exited(p, host) {
			active = append(active, p)
		}
	}
	if h := (Holder{Host: c.Host, Term: c.Term}); !c.Resigned && !t.exited(h, host) {
		active = append(active, h)
	}
	return active, true
}

// exited reports whether a holder has certainly stopped sending orders. host is the
// calling host.
func (t *Table) exited(h Holder, host string) bool {
	return h.Host == host || t.Exits[h.Host] >= h.Term
}

// PredecessorsGone reports whether the coordinator of a claim and all earlier ones have
// certainly stopped sending orders; see ActiveHolders.
func (t *Table) PredecessorsGone(c *Claim, host string) bool {
	active, known := t.ActiveHolders(c, host)
	return known && len(active) == 0
}

// job returns the job with the given ID. It adds the job if t has none with that ID.
func (t *Table) job(id string) *Job {
	j := t.Jobs[id]
	if j == nil {
		if t.Jobs == nil {
			t.Jobs = make(map[string]*Job)
		}
		j = &Job{}
		t.Jobs[id] = j
	}
	return j
}

// dropEmpty removes a job of which no record is left.
func (t *Table) dropEmpty(id string, j *Job) {
	if j.Spec == nil && j.Progress == nil && !j.Cancelled {
		delete(t.Jobs, id)
	}
}

// decode decodes b and sets *v to the result. It leaves *v unchanged if b is empty.
func decode[T any](b []byte, v **T) error {
	if len(b) == 0 {
		return nil
	}
	t := new(T)
	if err := wire.Decode(b, t); err != nil {
		return err
	}
	*v = t
	return nil
}
