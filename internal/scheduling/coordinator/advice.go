package coordinator

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// advisor holds what the advisory service has answered about the steps of open jobs.
type advisor struct {
	advice map[jobspec.TaskID]*stepAdvice
}

// stepAdvice is what the advisory service has answered about one step.
type stepAdvice struct {
	// pending has the workers named in the query in flight, with their lifetimes; it is
	// empty if there is none. nextQueryAt is when the next query may be sent.
	pending     map[string]int64
	nextQueryAt int64
	// tickets holds the ticket for each permitted worker. They are valid until expiresAt.
	tickets   map[string]string
	expiresAt int64
	// answers holds the last answer about each worker. It outlives the tickets, so that a
	// search for permitted workers reaches all of them.
	answers map[string]workerAdvice
}

// workerAdvice is an answer about one worker in one of its lifetimes.
type workerAdvice struct {
	lifetime, answeredAt int64
	permitted            bool
}

// maxAdviceWorkers is the most workers named in one query. The answer takes longer the
// more workers are named, and the operators allow for this number.
const maxAdviceWorkers = 30

// adviceRetryInterval is the least time between a query that failed and the next about the
// same step, in milliseconds.
const adviceRetryInterval = 500

// rejectionRetention is the time after which a worker that was not permitted is named again
// while no worker is known to be, in milliseconds. The answer about a worker does not
// change in its lifetime, but the service may not have known the worker yet.
const rejectionRetention = 10_000

// stepID returns a TaskID that identifies a step; its Index is unused.
func stepID(j *job, occurrence, step int) jobspec.TaskID {
	return jobspec.TaskID{Job: j.id, Occurrence: occurrence, Step: step}
}

// adviceAnswered handles the answer to a query. Tickets expire after nine tenths of their
// validity.
func (s *State) adviceAnswered(e *Advice) {
	p := s.advice[e.Step]
	if p == nil {
		// The job has ended.
		return
	}
	named := p.pending
	p.pending = nil
	s.planDue = true
	if e.Tickets == nil {
		p.nextQueryAt = s.now + adviceRetryInterval
		return
	}
	expiresAt := s.now + e.Validity*9/10
	if p.valid(s.now) {
		expiresAt = min(expiresAt, p.expiresAt)
	} else {
		p.tickets = make(map[string]string)
	}
	p.expiresAt = expiresAt
	if j := s.jobs[e.Step.Job]; j != nil {
		// The step is considered again at once.
		delete(j.placementAttempts, e.Step)
	}
	for id, lifetime := range named {
		p.answers[id] = workerAdvice{lifetime: lifetime, answeredAt: s.now, permitted: e.Tickets[id] != ""}
	}
	maps.Copy(p.tickets, e.Tickets)
	s.log("advice", slog.String("id", e.Step.Job), slog.Int("step", e.Step.Step), slog.Int("asked", len(named)),
		slog.Int("allowed", len(e.Tickets)), slog.Int("answers", len(p.answers)), slog.Int64("validityMs", e.Validity))
}

// valid reports whether the tickets are valid.
func (p *stepAdvice) valid(now int64) bool { return now < p.expiresAt }

// mustAwaitAdvice reports whether a request has to wait for a ticket. It sends a query if
// the valid tickets are fewer than the request's tasks.
func (s *State) mustAwaitAdvice(r *request, pool *candidatePool) bool {
	if !s.requiresAdvice(r.job) {
		return false
	}
	step := stepID(r.job, r.occurrence, r.step)
	p := s.advice[step]
	if p == nil {
		p = &stepAdvice{answers: make(map[string]workerAdvice)}
		if s.advice == nil {
			s.advice = make(map[jobspec.TaskID]*stepAdvice)
		}
		s.advice[step] = p
	}
	if len(p.pending) == 0 && s.now >= p.nextQueryAt && (!p.valid(s.now) || len(p.tickets) < len(r.indices)) {
		s.queryAdvice(step, pool, p)
	}
	return !p.valid(s.now) || len(p.tickets) == 0
}

// queryAdvice sends a query about workers without a valid ticket, if there are any that
// might be permitted.
func (s *State) queryAdvice(step jobspec.TaskID, pool *candidatePool, p *stepAdvice) {
	ids := s.workersToQuery(pool, p)
	if len(ids) == 0 {
		return
	}
	p.pending = make(map[string]int64, len(ids))
	for _, id := range ids {
		p.pending[id] = s.workers[id].currentLifetime
	}
	s.effects = append(s.effects, Effect{QueryAdvice: &QueryAdvice{Step: step, Workers: ids}})
}

// workersToQuery returns the workers that the next query names: those that were permitted
// before, then those about which there is no answer, and if none was permitted, those that
// were rejected longest ago. Within each group, those with the most free capacity come
// first.
func (s *State) workersToQuery(pool *candidatePool, p *stepAdvice) []string {
	var permitted, unknown, rejected []int
	anyPermitted := false
	for i, w := range pool.workers {
		a, ok := p.answers[w.ID]
		switch {
		case !ok || a.lifetime != w.currentLifetime:
			unknown = append(unknown, i)
		case a.permitted:
			anyPermitted = true
			if !p.valid(s.now) || p.tickets[w.ID] == "" {
				permitted = append(permitted, i)
			}
		case s.now-a.answeredAt > rejectionRetention:
			rejected = append(rejected, i)
		}
	}
	byFree := func(a, b int) int {
		return cmp.Compare(pool.candidates[b].Free.Weight(), pool.candidates[a].Free.Weight())
	}
	slices.SortStableFunc(permitted, byFree)
	slices.SortStableFunc(unknown, byFree)
	chosen := slices.Concat(permitted, unknown)
	if !anyPermitted {
		slices.SortStableFunc(rejected, func(a, b int) int {
			return cmp.Or(cmp.Compare(p.answers[pool.workers[a].ID].answeredAt, p.answers[pool.workers[b].ID].answeredAt), byFree(a, b))
		})
		chosen = append(chosen, rejected...)
	}
	ids := make([]string, 0, maxAdviceWorkers)
	for _, i := range chosen[:min(len(chosen), maxAdviceWorkers)] {
		ids = append(ids, pool.workers[i].ID)
	}
	return ids
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
	p := s.advice[stepID(r.job, r.occurrence, r.step)]
	return p != nil && p.tickets[w.ID] != ""
}

// ticket returns the ticket for an attempt; empty if it has none.
func (s *State) ticket(a *attempt) string {
	if p := s.advice[stepID(a.job, a.occurrence, a.step)]; p != nil {
		return p.tickets[a.w.ID]
	}
	return ""
}

// dropTickets drops the tickets of a step after a worker has rejected one of them.
func (s *State) dropTickets(a *attempt) {
	if p := s.advice[stepID(a.job, a.occurrence, a.step)]; p != nil {
		p.tickets, p.expiresAt = nil, 0
	}
}

// dropAdvice drops what is known for the steps of a job that has ended.
func (s *State) dropAdvice(j *job) {
	maps.DeleteFunc(s.advice, func(step jobspec.TaskID, _ *stepAdvice) bool { return step.Job == j.id })
}
