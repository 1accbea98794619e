package coordinator

import (
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

// recorder writes what has changed and remembers what waits for it.
type recorder struct {
	// dirty has the jobs with changes that are in no batch yet, in order.
	dirty []*job
	// finished has the IDs of jobs whose details are to be dropped.
	finished []string
	// forgotten has the IDs of jobs whose records are to be dropped.
	forgotten []string
	// batch is the number of the last batch sent, and written that of the last one
	// in the store.
	batch, written uint64
	pulse          uint64
	// starts has the units whose placement is being recorded, in order.
	starts []*unit
	// flushed is when the last pulse was sent.
	flushed int64
}

// next returns the number of the batch that changes made now will be in.
func (s *State) next() uint64 { return s.batch + 1 }

// changed notes that a job has to be recorded.
func (s *State) changed(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// flush sends the next batch when none is on its way.
func (s *State) flush() {
	if s.batch != s.written || s.resigned {
		return
	}
	r := Record{Batch: s.batch + 1}
	for _, id := range s.finished {
		// The end is in the store by now, so the details are not needed any more.
		r.Details = append(r.Details, jobstate.DropDetailRecord(id))
	}
	s.finished = s.finished[:0]
	for _, j := range s.dirty {
		j.dirty = false
		j.prog.Term = s.Term
		if err := s.recordJob(&r, j); err != nil {
			s.line("job not recorded", slog.String("id", j.id), slog.String("error", err.Error()))
		}
	}
	clear(s.dirty)
	s.dirty = s.dirty[:0]
	for _, id := range s.forgotten {
		r.Records = append(r.Records, jobstate.DropRecords(id)...)
	}
	s.forgotten = nil
	pulse := len(r.Records) > 0 || s.now >= s.flushed+s.RenewInterval
	if !pulse && len(r.Details) == 0 {
		return
	}
	if pulse {
		s.pulse++
		c, err := jobstate.ClaimRecord(&jobstate.Claim{
			Host: s.Host, Incarnation: s.Incarnation, Renewal: s.pulse, RenewedTerm: s.Term, SoleLeader: s.priorGone,
		})
		if err != nil {
			s.line("pulse not recorded", slog.String("error", err.Error()))
			return
		}
		r.Records = append(r.Records, c)
		s.flushed = s.now
	}
	s.batch = r.Batch
	s.out = append(s.out, Effect{Record: &r})
}

// recordJob adds the records of a job's state to a batch.
func (s *State) recordJob(r *Record, j *job) error {
	shown := outward{state: j.prog.State, begun: j.prog.Started}
	if j.prog.State.Ended() {
		if j.shown == shown {
			return nil
		}
		rs, err := jobstate.EndedRecords(j.spec, j.prog)
		if err != nil {
			return err
		}
		j.shown = shown
		s.finished = append(s.finished, j.id)
		r.Records = append(r.Records, rs...)
		return nil
	}
	d, err := jobstate.DetailRecord(j.id, j.prog)
	if err != nil {
		return err
	}
	r.Details = append(r.Details, d)
	if j.shown == shown {
		return nil
	}
	p, err := jobstate.ProgressRecord(j.id, j.prog)
	if err != nil {
		return err
	}
	j.shown = shown
	r.Records = append(r.Records, p)
	return nil
}

// outward is what of a job's state is told to callers.
type outward struct {
	state jobspec.State
	begun bool
}

// recorded releases what waited for a batch.
func (s *State) recorded(e *Recorded) {
	if e.Batch != s.batch {
		return
	}
	s.written = e.Batch
	s.proved = max(s.proved, e.SentAt)
	n := 0
	for _, u := range s.starts {
		if u.batch > s.written {
			s.starts[n] = u
			n++
			continue
		}
		u.recorded = true
		s.begin(u)
	}
	clear(s.starts[n:])
	s.starts = s.starts[:n]
	for _, w := range s.workers {
		w.acknowledge(s.written)
		if w.holdDue {
			s.hold(w)
		}
	}
}
