package coordinator

import (
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

// recorder writes what has changed and remembers what waits for it.
type recorder struct {
	// dirty has the jobs with changes that are in no batch yet, in order.
	dirtyJobs []*job
	// finished has the IDs of jobs whose details are to be dropped.
	detailsToDrop []string
	// forgotten has the IDs of jobs whose records are to be dropped.
	recordsToDrop []string
	// batch is the number of the last batch sent, and written that of the last one
	// in the store.
	batch, written uint64
	renewals       uint64
	// starts has the units whose placement is being recorded, in order.
	unrecordedUnits []*unit
	// flushed is when the last pulse was sent.
	renewedAt int64
}

// next returns the number of the batch that changes made now will be in.
func (s *State) nextBatch() uint64 { return s.batch + 1 }

// changed notes that a job has to be recorded.
func (s *State) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// flush sends the next batch when none is on its way.
func (s *State) flush() {
	if s.batch != s.written || s.resigned {
		return
	}
	r := Record{Batch: s.batch + 1}
	for _, id := range s.detailsToDrop {
		// The end is in the store by now, so the details are not needed any more.
		r.Details = append(r.Details, jobstate.DropDetailRecord(id))
	}
	s.detailsToDrop = s.detailsToDrop[:0]
	for _, j := range s.dirtyJobs {
		j.dirty = false
		j.progress.Term = s.Term
		if err := s.recordJob(&r, j); err != nil {
			s.log("job not recorded", slog.String("id", j.id), slog.String("error", err.Error()))
		}
	}
	clear(s.dirtyJobs)
	s.dirtyJobs = s.dirtyJobs[:0]
	for _, id := range s.recordsToDrop {
		r.Records = append(r.Records, jobstate.DropRecords(id)...)
	}
	s.recordsToDrop = nil
	renew := len(r.Records) > 0 || s.now >= s.renewedAt+s.RenewInterval
	if !renew && len(r.Details) == 0 {
		return
	}
	if renew {
		s.renewals++
		c, err := jobstate.ClaimRecord(&jobstate.Claim{
			Host: s.Host, Incarnation: s.Incarnation, Renewal: s.renewals, RenewedTerm: s.Term, SoleLeader: s.predecessorsGone,
		})
		if err != nil {
			s.log("pulse not recorded", slog.String("error", err.Error()))
			return
		}
		r.Records = append(r.Records, c)
		s.renewedAt = s.now
	}
	s.batch = r.Batch
	s.effects = append(s.effects, Effect{Record: &r})
}

// recordJob adds the records of a job's state to a batch.
func (s *State) recordJob(r *Record, j *job) error {
	shown := callerView{state: j.progress.State, started: j.progress.Started}
	if j.progress.State.Ended() {
		if j.recordedView == shown {
			return nil
		}
		rs, err := jobstate.EndedRecords(j.spec, j.progress)
		if err != nil {
			return err
		}
		j.recordedView = shown
		s.detailsToDrop = append(s.detailsToDrop, j.id)
		r.Records = append(r.Records, rs...)
		return nil
	}
	d, err := jobstate.DetailRecord(j.id, j.progress)
	if err != nil {
		return err
	}
	r.Details = append(r.Details, d)
	if j.recordedView == shown {
		return nil
	}
	p, err := jobstate.ProgressRecord(j.id, j.progress)
	if err != nil {
		return err
	}
	j.recordedView = shown
	r.Records = append(r.Records, p)
	return nil
}

// outward is what of a job's state is told to callers.
type callerView struct {
	state   jobspec.State
	started bool
}

// recorded releases what waited for a batch.
func (s *State) batchRecorded(e *Recorded) {
	if e.Batch != s.batch {
		return
	}
	s.written = e.Batch
	s.claimVerifiedAt = max(s.claimVerifiedAt, e.SentAt)
	n := 0
	for _, u := range s.unrecordedUnits {
		if u.batch > s.written {
			s.unrecordedUnits[n] = u
			n++
			continue
		}
		u.recorded = true
		s.startUnit(u)
	}
	clear(s.unrecordedUnits[n:])
	s.unrecordedUnits = s.unrecordedUnits[:n]
	for _, w := range s.workers {
		w.advanceAcked(s.written)
		if w.pollDue {
			s.poll(w)
		}
	}
}
