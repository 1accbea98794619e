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
	drains map[string]*precedence.Drain
	// current holds the backlogs as of computedAt.
	current    []jobstate.Backlog
	computedAt int64
}

// noteBegun records that the first task of a job of a route was placed.
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
	waiting := make(map[string]int)
	for _, j := range s.jobs {
		if j.progress.State == jobspec.Queued && !j.placed && j.spec.Priority > 0 && j.spec.Occurrences == 0 {
			waiting[j.spec.Route]++
		}
	}
	before := len(s.current)
	s.current = nil
	for route, d := range s.drains {
		if wait := d.Wait(s.now, waiting[route]); wait >= minBacklogWait {
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
