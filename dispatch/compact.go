package dispatch

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/rack"
)

const (
	// moveEvery is the least time between two moves, in milliseconds.
	moveEvery = 20_000
	// leastRest is the least expected rest of a job that is worth a move, in
	// milliseconds.
	leastRest = 5 * 60_000
	// mostAttempts bounds the attempts of a job that is still moved.
	mostAttempts = 16
)

// emptying is a rack that moves could make whole.
type emptying struct {
	rack string
	// movable lists the jobs that can be moved, largest first.
	movable []string
}

// compact moves one job, by checkpoint, from the last rack in the policy's order
// of racks that has one to the first that has room and is in use. Since jobs only
// move towards the first rack, moves come to an end, and the last racks become
// whole.
func (s *State) compact(r *planning) {
	for _, e := range s.emptyings(r) {
		for _, id := range e.movable {
			if s.move(r, s.Ledger.Jobs[id], &e) {
				return
			}
		}
	}
}

// compacts reports whether it is time for a move: fragmentation weighs more than
// completion, and the last move is over.
func (s *State) compacts() bool {
	p := s.Ledger.Config.Policy
	if s.Policy.NoPreemption || p.FragmentationWeight <= p.CompletionWeight || s.now-s.movedAt < moveEvery {
		return false
	}
	for _, h := range s.holds {
		if h.moving {
			return false
		}
	}
	return true
}

// emptyings returns the racks with jobs that can be moved, the last in the
// policy's order first.
func (s *State) emptyings(r *planning) []emptying {
	byRack := map[string]*emptying{}
	for _, id := range sortedKeys(s.drives) {
		j := s.Ledger.Jobs[id]
		if j == nil || j.State != ledger.Placed || !s.movable(j, s.drives[id]) {
			continue
		}
		for _, name := range s.racksOf(j) {
			if byRack[name] == nil {
				byRack[name] = &emptying{rack: name}
			}
			byRack[name].movable = append(byRack[name].movable, id)
		}
	}
	var es []emptying
	for _, name := range sortedKeys(byRack) {
		e := byRack[name]
		slices.SortStableFunc(e.movable, func(a, b string) int {
			return -cmp.Compare(slotsOf(s.Ledger.Jobs[a].Members), slotsOf(s.Ledger.Jobs[b].Members))
		})
		es = append(es, *e)
	}
	slices.SortStableFunc(es, func(a, b emptying) int {
		return -cmp.Compare(r.view.RackOrder[a.rack], r.view.RackOrder[b.rack])
	})
	return es
}

// racksOf returns the racks on which j has members.
func (s *State) racksOf(j *ledger.Job) []string {
	var names []string
	for _, m := range j.Members {
		if w := s.Ledger.Workers[m.Worker]; w != nil && !slices.Contains(names, w.Rack) {
			names = append(names, w.Rack)
		}
	}
	return names
}

// movable reports whether a running job may be stopped to run on elsewhere: a
// repeatable one whose kind keeps its progress and which has some way to go.
func (s *State) movable(j *ledger.Job, d *drive) bool {
	return s.rest(j, d) >= leastRest && d.phase == phaseRun && !j.Spec.AtMostOnce && j.CancelledBy == "" && j.Attempt < mostAttempts &&
		!j.Spec.Urgent && !s.Ledger.Config.Classes[j.Spec.Class].Urgent &&
		s.keeps(j)
}

// keeps reports whether jobs like j keep their progress when they are stopped.
func (s *State) keeps(j *ledger.Job) bool {
	return s.Ledger.RunStats[ledger.RunStatsKey(j.Spec.Organisation, j.Spec.Class)].MostlySaved()
}

// move holds cells for j in racks that come before e and stops it. It reports
// whether there were any.
func (s *State) move(r *planning, j *ledger.Job, e *emptying) bool {
	need, err := j.Spec.Need()
	if err != nil {
		return false
	}
	elsewhere := r.free.Clone()
	for i := range elsewhere.Nodes {
		n := &elsewhere.Nodes[i]
		if r.view.RackOrder[n.Rack] >= r.view.RackOrder[e.rack] || r.view.RackUsedSlots[n.Rack] == 0 {
			n.Used = rack.FullMask(n.Slots)
		}
	}
	cells, ok := elsewhere.Place(need, func(n *rack.Node, broken rack.Level) int {
		return r.view.RackOrder[n.Rack]<<4 + int(broken)
	})
	if !ok {
		return false
	}
	s.movedAt = s.now
	s.holds[j.ID] = &hold{org: j.Spec.Organisation, cells: cells, since: s.now, moving: true}
	r.use(cells)
	s.observe(j.Spec.Organisation, j.Spec.Class, "moved", 1)
	s.stopDrive(s.drives[j.ID], "it is moved to make rack "+e.rack+" whole")
	return true
}

// movedFirst puts the jobs that are being moved before all others, so that nobody
// takes their organisation's guarantee meanwhile.
func (s *State) movedFirst(queue []policy.QueuedJob) {
	slices.SortStableFunc(queue, func(a, b policy.QueuedJob) int {
		x, y := s.holds[a.Job], s.holds[b.Job]
		switch moving := x != nil && x.moving; {
		case moving == (y != nil && y.moving):
			return 0
		case moving:
			return -1
		default:
			return 1
		}
	})
}
