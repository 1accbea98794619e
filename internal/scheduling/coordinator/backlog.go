package coordinator

import (
	"log/slog"
	"slices"
	"strings"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/precedence"
)

const (
	// minBacklogWait is the wait of a queue from which on other hosts are told of it, in
	// milliseconds. Shorter ones turn no job away whose objective is that of the shortest common
	// jobs.
	minBacklogWait = 5000
	// backlogInterval is the least time between two computations of the backlogs, in milliseconds.
	backlogInterval = 1000
)

// backlogs follows how fast queues drain.
type backlogs struct {
	// drains holds the routes whose jobs wait for at least backlogInterval, and those of which a job
	// has begun since computedAt.
	drains map[string]*precedence.Drain
	// current holds the backlogs as of computedAt.
	current    []jobstate.Backlog
	computedAt int64
}

// noteBegun records that a waiting job of a route has begun, as its first task was placed.
func (b *backlogs) noteBegun(route string, now int64) {
	if b.drains == nil {
		b.drains = make(map[string]*precedence.Drain)
	}
	if b.drains[route] == nil {
		b.drains[route] = new(precedence.Drain)
	}
	b.drains[route].Begin(now)
}

// currentBacklogs returns the routes without urgent jobs whose jobs wait for long. Urgent work
// preempts, and its wait says little about the next.
func (s *State) currentBacklogs() []jobstate.Backlog {
	if s.now < s.computedAt+backlogInterval {
		return s.current
	}
	s.computedAt = s.now
	waiting := s.waitingJobs()
	before := len(s.current)
	s.current = nil
	for route, d := range s.drains {
		q := waiting[route]
		if s.now-q.since < backlogInterval || q.jobs == 0 {
			// Jobs began as fast as they came, which says nothing about how fast a backlog drains.
			delete(s.drains, route)
			continue
		}
		if wait := d.Wait(s.now, q.jobs); wait >= minBacklogWait {
			s.current = append(s.current, jobstate.Backlog{Route: route, Wait: wait})
		}
	}
	slices.SortFunc(s.current, func(a, b jobstate.Backlog) int { return strings.Compare(a.Route, b.Route) })
	if len(s.current) != before {
		s.log("backlogs changed", slog.Any("backlogs", s.current))
	}
	return s.current
}

// Backlogs returns the number of queues whose jobs wait for long.
func (s *State) Backlogs() int { return len(s.current) }

// waitingQueue is the number of jobs of a route that wait, and since when the oldest does.
type waitingQueue struct {
	jobs  int
	since int64
}

// waitsInQueue reports whether a job counts for the backlog of its route: it has not begun, is neither
// urgent nor periodic, and no task of it was placed in this term.
func (j *job) waitsInQueue() bool {
	return j.progress.State == jobspec.Queued && !j.placed && j.spec.Priority > 0 && j.spec.Occurrences == 0
}

// waitingJobs returns the jobs that wait, by route.
func (s *State) waitingJobs() map[string]waitingQueue {
	waiting := make(map[string]waitingQueue)
	for _, j := range s.jobs {
		if !j.waitsInQueue() {
			continue
		}
		q := waiting[j.spec.Route]
		if q.jobs++; q.jobs == 1 || j.acceptedAt < q.since {
			q.since = j.acceptedAt
		}
		waiting[j.spec.Route] = q
	}
	return waiting
}
