package coordinator

import (
	"log/slog"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// advisor keeps the advisory service's permissions.
type advisor struct {
	// asked has the steps with a question on its way; again is when a step may be asked
	// about once more.
	asked map[jobspec.TaskID]bool
	again map[jobspec.TaskID]int64
	// tickets has the permissions per step.
	tickets map[jobspec.TaskID]*permission
}

// permission lets a step run on some workers for a while.
type permission struct {
	tickets map[string]string
	until   int64
	// refused has the workers that the service did not allow.
	asked map[string]bool
}

// adviceWorkers is the number of workers named in a question: the answer takes
// longer the more there are, and the operators allow for so many.
const adviceWorkers = 30

// adviceAgain is the time between two questions about a step that were not
// answered or allowed too little, in milliseconds.
const adviceAgain = 500

// stepName identifies a step; the index is not used.
func stepName(j *job, k, step int) jobspec.TaskID {
	return jobspec.TaskID{Job: j.id, Occurrence: k, Step: step}
}

// advised takes the answer to a question.
func (s *State) advised(e *Advice) {
	delete(s.asked, e.Step)
	s.again[e.Step] = s.now + adviceAgain
	if e.Tickets == nil {
		return
	}
	p := s.tickets[e.Step]
	if p == nil || s.now >= p.until {
		p = &permission{tickets: make(map[string]string), until: s.now + e.Validity*9/10, asked: make(map[string]bool)}
		s.tickets[e.Step] = p
	}
	p.until = min(p.until, s.now+e.Validity*9/10)
	for w, t := range e.Tickets {
		p.tickets[w] = t
	}
	s.line("advice", slog.String("id", e.Step.Job), slog.Int("step", e.Step.Step), slog.Int("allowed", len(e.Tickets)),
		slog.Int64("validityMs", e.Validity))
	s.planDue = true
}

// needsAdvice reports whether a request has to wait for advice, and asks for it.
func (s *State) needsAdvice(r *request, f *floor) bool {
	if !s.isAdvised(r.job) {
		return false
	}
	n := stepName(r.job, r.occurrence, r.step)
	p := s.tickets[n]
	valid := p != nil && s.now < p.until
	if !s.asked[n] && s.now >= s.again[n] && (!valid || len(p.tickets) < len(r.indices)) {
		s.ask(n, f, p)
	}
	return !valid || len(p.tickets) == 0
}

// ask sends a question about the workers with the most room.
func (s *State) ask(n jobspec.TaskID, f *floor, p *permission) {
	if s.asked == nil {
		s.asked, s.again, s.tickets = make(map[jobspec.TaskID]bool), make(map[jobspec.TaskID]int64), make(map[jobspec.TaskID]*permission)
	}
	at := all(f)
	slices.SortStableFunc(at, func(a, b int) int {
		return int(f.seats[b].Free.Weight()) - int(f.seats[a].Free.Weight())
	})
	var ids []string
	for _, i := range at {
		id := f.workers[i].ID
		if p != nil && s.now < p.until && p.asked[id] {
			continue
		}
		if ids = append(ids, id); len(ids) == adviceWorkers {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	if p != nil {
		for _, id := range ids {
			p.asked[id] = true
		}
	}
	s.asked[n] = true
	s.out = append(s.out, Effect{QueryAdvice: &QueryAdvice{Step: n, Workers: ids}})
}

// isAdvised reports whether the job's queue needs permissions.
func (s *State) isAdvised(j *job) bool {
	if s.config == nil {
		return false
	}
	r := s.config.Routes[j.spec.Route]
	return r != nil && r.RequiresAdvice
}

// allowed reports whether a request may use a worker.
func (s *State) allowed(r *request, w *worker) bool {
	if !s.isAdvised(r.job) {
		return true
	}
	p := s.tickets[stepName(r.job, r.occurrence, r.step)]
	return p != nil && p.tickets[w.ID] != ""
}

// ticket returns the permission for an attempt.
func (s *State) ticket(a *attempt) string {
	if p := s.tickets[stepName(a.job, a.occurrence, a.step)]; p != nil {
		return p.tickets[a.w.ID]
	}
	return ""
}

// dropTickets forgets the permissions of a step, since one was not taken.
func (s *State) dropTickets(a *attempt) { delete(s.tickets, stepName(a.job, a.occurrence, a.step)) }
