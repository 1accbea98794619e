package foreman

import (
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/yard/book"
)

// recorder writes what has changed and remembers what waits for it.
type recorder struct {
	// dirty has the jobs with changes that are in no batch yet, in order.
	dirty []*job
	// forgotten has the IDs of jobs whose records are to be dropped.
	forgotten []string
	// batch is the number of the last batch sent, and written that of the last one
	// in the store.
	batch, written uint64
	pulse          uint64
	// starts has the units whose placement is being recorded, in order.
	starts []*unit
	// flushed is when the last batch was sent.
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
	var rs []book.Record
	for _, j := range s.dirty {
		j.dirty = false
		j.prog.Term = s.Term
		r, err := j.records()
		if err != nil {
			s.line("job not recorded", slog.String("job", j.id), slog.String("error", err.Error()))
			continue
		}
		rs = append(rs, r...)
	}
	clear(s.dirty)
	s.dirty = s.dirty[:0]
	for _, id := range s.forgotten {
		rs = append(rs, book.Forgotten(id)...)
	}
	s.forgotten = nil
	if len(rs) == 0 && s.now < s.flushed+s.PulseEvery {
		return
	}
	s.pulse++
	c, err := book.Claimed(&book.Claim{Host: s.Host, Incarnation: s.Incarnation, Pulse: s.pulse, Of: s.Term, Sole: s.priorGone})
	if err != nil {
		s.line("pulse not recorded", slog.String("error", err.Error()))
		return
	}
	rs = append(rs, c)
	s.batch++
	s.flushed = s.now
	s.out = append(s.out, Effect{Record: &Record{Batch: s.batch, Records: rs}})
}

// recorded releases what waited for a batch.
func (s *State) recorded(e *Recorded) {
	if e.Batch != s.batch {
		return
	}
	s.written = e.Batch
	s.proved = max(s.proved, e.Sent)
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

// records returns the records of the job's state.
func (j *job) records() ([]book.Record, error) {
	if j.prog.State.Ended() {
		return book.Ended(j.spec, j.prog)
	}
	r, err := book.Advanced(j.id, j.prog)
	return []book.Record{r}, err
}
