package coordinator

import (
	"log/slog"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// advisor holds the permissions granted by the advisory service and the state of the
// queries to it.
type advisor struct {
	// queryPending holds the steps with a query in flight. nextQueryAt is when the next
	// query about a step may be sent.
	queryPending map[jobspec.TaskID]bool
	nextQueryAt  map[jobspec.TaskID]int64
	// permissions holds the permission of each step.
	permissions map[jobspec.TaskID]*permission
}

// permission allows a step to run on some workers until it expires.
type permission struct {
	// tickets holds the ticket for each permitted worker.
	tickets   map[string]string
	expiresAt int64
	// queried holds the workers named in a query since the permission was granted. They
	// are not named again before it expires.
	queried map[string]bool
}

// maxAdviceWorkers is the most workers named in one query. The answer takes longer the
// more workers are named, and the operators allow for this number.
const maxAdviceWorkers = 30

// adviceRetryInterval is the least time between the answer to a query, or its failure,
// and the next query about the same step, in milliseconds. A query is repeated if it was
// not answered or permitted too few workers.
const adviceRetryInterval = 500

// stepID returns a TaskID that identifies a step; its Index is unused.
func stepID(j *job, occurrence, step int) jobspec.TaskID {
	return jobspec.TaskID{Job: j.id, Occurrence: occurrence, Step: step}
}

// adviceAnswered handles the answer to a query. Permissions expire after nine tenths of
// their validity.
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

// mustAwaitAdvice reports whether a request has to wait for a permission. It sends a
// query if the valid tickets are fewer than the request's tasks.
func (s *State) mustAwaitAdvice(r *request, pool *candidatePool) bool {
	if !s.requiresAdvice(r.job) {
		return false
	}
	step := stepID(r.job, r.occurrence, r.step)
	p := s.permissions[step]
	valid := p != nil && s.now < p.expiresAt
	if !s.queryPending[step] && s.now >= s.nextQueryAt[step] && (!valid || len(p.tickets) < len(r.indices)) {
		s.queryAdvice(step, pool, p)
	}
	return !valid || len(p.tickets) == 0
}

// queryAdvice sends a query about the workers with the most free capacity.
func (s *State) queryAdvice(step jobspec.TaskID, pool *candidatePool, p *permission) {
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
	s.queryPending[step] = true
	s.effects = append(s.effects, Effect{QueryAdvice: &QueryAdvice{Step: step, Workers: ids}})
}

// requiresAdvice reports whether the tasks of the job's route need permissions.
func (s *State) requiresAdvice(j *job) bool {
	if s.config == nil {
		return false
	}
	r := s.config.Routes[j.spec.Route]
	return r != nil && r.RequiresAdvice
}

// permitted reports whether a request may use a worker: either the advisory service has
// issued a ticket for it, or the job's route requires no advice.
func (s *State) permitted(r *request, w *worker) bool {
	if !s.requiresAdvice(r.job) {
		return true
	}
	p := s.permissions[stepID(r.job, r.occurrence, r.step)]
	return p != nil && p.tickets[w.ID] != ""
}

// ticket returns the ticket for an attempt; empty if it has none.
func (s *State) ticket(a *attempt) string {
	if p := s.permissions[stepID(a.job, a.occurrence, a.step)]; p != nil {
		return p.tickets[a.w.ID]
	}
	return ""
}

// dropPermission drops the permission of a step after a worker has rejected one of its
// tickets.
func (s *State) dropPermission(a *attempt) {
	delete(s.permissions, stepID(a.job, a.occurrence, a.step))
}
