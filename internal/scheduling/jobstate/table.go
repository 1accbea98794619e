package jobstate

import (
	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/wire"
)

// Job is what the records tell of one job.
type Job struct {
	// Spec is nil until the acceptance has been read.
	Spec *jobspec.Spec
	// Progress is nil until the coordinator has written any.
	Progress *jobspec.Progress
	// Cancelled is set once a cancellation has been accepted.
	Cancelled bool

	// specAt, progressAt and cancelAt are one more than the records' offsets.
	specAt, progressAt, cancelAt uint64
}

// State returns what a caller may be told.
func (j *Job) State() jobspec.State {
	switch {
	case j.Progress != nil && j.Progress.State.Ended():
		return j.Progress.State
	case j.Cancelled:
		return jobspec.Cancelled
	case j.Progress != nil && j.Progress.Started:
		return jobspec.Running
	}
	return jobspec.Queued
}

// Change tells what a record changed.
type Change struct {
	// Job is the ID of the job that changed; empty for a claim.
	Job string
	// Claimed is set for a claim, a pulse or a resignation.
	ClaimChanged bool
	// Departed is set when Book.Departed has risen.
	ExitRecorded bool
}

// Book is the replicated state. The zero value is empty and ready. It must not
// be used by two goroutines at once.
type Table struct {
	// Jobs is by ID and has only jobs that were accepted or cancelled.
	Jobs map[string]*Job
	// Claim is the newest claim, and Pulses the number of its pulses read.
	Claim    Claim
	Renewals uint64
	// Departed is the highest term whose coordinator's process is known to have ended.
	ExitedTerm uint64
	// Next is the offset of the next record to apply.
	NextOffset uint64

	claimAt uint64
}

// Reset forgets everything, before the newest records are read again.
func (t *Table) Reset() { *t = Table{} }

// Apply takes the record at an offset. Records may come again and, while the
// newest ones are read, out of order; for each key the highest offset counts. A
// record that cannot be read changes nothing and is an error.
func (t *Table) Apply(offset uint64, r Record) (Change, error) {
	if r.Key == "" {
		return Change{}, errors.Newf("record %d has no key", offset)
	}
	at := offset + 1
	kind, id := r.Key[0], r.Key[1:]
	if kind == kindClaim {
		return t.applyClaim(at, r.Value)
	}
	if kind == kindExit {
		return t.applyExit(at, r.Value)
	}
	j := t.job(id)
	defer t.dropEmpty(id, j)
	switch kind {
	case kindAccepted:
		if at <= j.specAt {
			return Change{}, nil
		}
		var s *jobspec.Spec
		if err := decode(r.Value, &s); err != nil {
			return Change{}, errors.Wrapf(err, "acceptance of %q at %d", id, offset)
		}
		// The first acceptance stays, since a repeat is the same request, until the
		// outline of the ended job takes its place.
		if j.Spec == nil || s == nil || s.IsSummary() {
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
			return Change{}, errors.Wrapf(err, "progress of %q at %d", id, offset)
		}
		j.Progress, j.progressAt = p, at
	default:
		return Change{}, errors.Newf("record %d has the unknown kind %q", offset, kind)
	}
	return Change{Job: id}, nil
}

// claim takes a claim, a pulse or a resignation.
func (t *Table) applyClaim(at uint64, value []byte) (Change, error) {
	if at <= t.claimAt {
		return Change{}, nil
	}
	var c *Claim
	if err := decode(value, &c); err != nil {
		return Change{}, errors.Wrapf(err, "claim at %d", at-1)
	}
	if c == nil {
		return Change{}, errors.Newf("claim at %d is empty", at-1)
	}
	c.Term = at
	if c.RenewedTerm != 0 {
		c.Term = c.RenewedTerm
	}
	t.Claim, t.claimAt = *c, at
	t.Renewals++
	return Change{ClaimChanged: true}, nil
}

// departure takes the news that a coordinator's process has ended.
func (t *Table) applyExit(at uint64, value []byte) (Change, error) {
	var d *Exit
	if err := decode(value, &d); err != nil {
		return Change{}, errors.Wrapf(err, "departure at %d", at-1)
	}
	if d == nil || d.Term <= t.ExitedTerm {
		return Change{}, nil
	}
	t.ExitedTerm = d.Term
	return Change{ExitRecorded: true}, nil
}

// Gone reports whether the coordinator of a claim, and all before it, certainly give no
// orders any more. host is the one that asks, whose own earlier processes have ended.
func (t *Table) PredecessorsGone(c *Claim, host string) bool {
	return c.Term == 0 || c.SoleLeader && (c.Resigned || c.Host == host || t.ExitedTerm >= c.Term)
}

// job returns the job with an ID, which may be new.
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

// dropEmpty forgets a job of which no record is left.
func (t *Table) dropEmpty(id string, j *Job) {
	if j.Spec == nil && j.Progress == nil && !j.Cancelled {
		delete(t.Jobs, id)
	}
}

// decode reads a value; an empty one leaves the target nil.
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
