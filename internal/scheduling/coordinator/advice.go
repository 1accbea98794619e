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
	queryPending map[jobspec.TaskID]bool
	nextQueryAt  map[jobspec.TaskID]int64
	// tickets has the permissions per step.
	permissions map[jobspec.TaskID]*permission
}

// permission lets a step run on some workers for a while.
type permission struct {
	tickets   map[string]string
	expiresAt int64
	// refused has the workers that the service did not allow.
	queried map[string]bool
}

// adviceWorkers is the number of workers named in a question: the answer takes
// longer the more there are, and the operators allow for so many.
const maxAdviceWorkers = 30

// adviceAgain is the time between two questions about a step that were not
// answered or allowed too little, in milliseconds.
const adviceRetryInterval = 500

// stepName identifies a step; the index is not used.
func stepID(j *job, occurrence, step int) jobspec.TaskID {
	return jobspec.TaskID{Job: j.id, Occurrence: occurrence, Step: step}
}

// advised takes the answer to a question.
func (s *State) adviceAnswered(e *Advice) {
	delete(s.queryPending, e.Step)
	s.nextQueryAt[e.Step] = s.now + adviceRetryInterval
	if e.Tickets == nil {
		return
	}
	p := s.permissions[e.Step]
	if p == nil || s.now >= p.expiresAt {
		p = &permission{tickets: make(map[string]string), expiresAt: s.now + e.Validity*9/10, queried: make(map[string]bool)}
		s.permissions[e.Step] = p
	}
	p.expiresAt = min(p.expiresAt, s.now+e.Validity*9/10)
	for w, t := range e.Tickets {
		p.tickets[w] = t
	}
	s.log("advice", slog.String("id", e.Step.Job), slog.Int("step", e.Step.Step), slog.Int("allowed", len(e.Tickets)),
		slog.Int64("validityMs", e.Validity))
	s.planDue = true
}

// needsAdvice reports whether a request has to wait for advice, and asks for it.
func (s *State) mustAwaitAdvice(r *request, pool *candidatePool) bool {
	if !s.requiresAdvice(r.job) {
		return false
	}
	n := stepID(r.job, r.occurrence, r.step)
	p := s.permissions[n]
	valid := p != nil && s.now < p.expiresAt
	if !s.queryPending[n] && s.now >= s.nextQueryAt[n] && (!valid || len(p.tickets) < len(r.indices)) {
		s.queryAdvice(n, pool, p)
	}
	return !valid || len(p.tickets) == 0
}

// ask sends a question about the workers with the most room.
func (s *State) queryAdvice(n jobspec.TaskID, pool *candidatePool, p *permission) {
	if s.queryPending == nil {
		s.queryPending, s.nextQueryAt, s.permissions = make(map[jobspec.TaskID]bool), make(map[jobspec.TaskID]int64), make(map[jobspec.TaskID]*permission)
	}
	indices := allCandidates(pool)
	slices.SortStableFunc(indices, func(a, b int) int {
		return int(pool.candidates[b].Free.Weight()) - int(pool.candidates[a].Free.Weight())
	})
	var ids []string
	for _, i := range indices {
		id := pool.workers[i].ID
		if p != nil && s.now < p.expiresAt && p.queried[id] {
			continue
		}
		if ids = append(ids, id); len(ids) == maxAdviceWorkers {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	if p != nil {
		for _, id := range ids {
			p.queried[id] = true
		}
	}
	s.queryPending[n] = true
	s.effects = append(s.effects, Effect{QueryAdvice: &QueryAdvice{Step: n, Workers: ids}})
}

// isAdvised reports whether the job's queue needs permissions.
func (s *State) requiresAdvice(j *job) bool {
	if s.config == nil {
		return false
	}
	r := s.config.Routes[j.spec.Route]
	return r != nil && r.RequiresAdvice
}

// allowed reports whether a request may use a worker.
func (s *State) permitted(r *request, w *worker) bool {
	if !s.requiresAdvice(r.job) {
		return true
	}
	p := s.permissions[stepID(r.job, r.occurrence, r.step)]
	return p != nil && p.tickets[w.ID] != ""
}

// ticket returns the permission for an attempt.
func (s *State) ticket(a *attempt) string {
	if p := s.permissions[stepID(a.job, a.occurrence, a.step)]; p != nil {
		return p.tickets[a.w.ID]
	}
	return ""
}

// dropTickets forgets the permissions of a step, since one was not taken.
func (s *State) dropPermission(a *attempt) {
	delete(s.permissions, stepID(a.job, a.occurrence, a.step))
}
