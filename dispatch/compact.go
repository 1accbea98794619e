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
	minMigrationInterval = 20_000
	// leastRest is the least expected rest of a job that is worth a move, in
	// milliseconds.
	minMigrationRemaining = 5 * 60_000
	// mostAttempts bounds the attempts of a job that is still moved.
	maxMigrationAttempts = 16
)

// emptying is a rack that moves could make whole.
type rackToEmpty struct {
	rack string
	// movable lists the jobs that can be moved, largest first.
	movable []string
}

// compact moves one job, by checkpoint, from the last rack in the policy's order
// of racks that has one to the first that has room and is in use. Since jobs only
// move towards the first rack, moves come to an end, and the last racks become
// whole.
func (s *State) compact(r *schedulingRound) {
	for _, e := range s.racksToEmpty(r) {
		for _, id := range e.movable {
			if s.migrate(r, s.Ledger.Jobs[id], &e) {
				return
			}
		}
	}
}

// compacts reports whether it is time for a move: fragmentation weighs more than
// completion, and the last move is over.
func (s *State) compactionDue() bool {
	p := s.Ledger.Config.Policy
	if s.Policy.NoReclaim || p.FragmentationWeight <= p.CompletionWeight || s.now-s.migratedAt < minMigrationInterval {
		return false
	}
	for _, res := range s.reservations {
		if res.migrating {
			return false
		}
	}
	return true
}

// emptyings returns the racks with jobs that can be moved, the last in the
// policy's order first.
func (s *State) racksToEmpty(r *schedulingRound) []rackToEmpty {
	byRack := map[string]*rackToEmpty{}
	for _, id := range sortedKeys(s.attempts) {
		j := s.Ledger.Jobs[id]
		if j == nil || j.State != ledger.Placed || !s.canMigrate(j, s.attempts[id]) {
			continue
		}
		for _, name := range s.racksOf(j) {
			if byRack[name] == nil {
				byRack[name] = &rackToEmpty{rack: name}
			}
			byRack[name].movable = append(byRack[name].movable, id)
		}
	}
	var es []rackToEmpty
	for _, name := range sortedKeys(byRack) {
		e := byRack[name]
		slices.SortStableFunc(e.movable, func(a, b string) int {
			return -cmp.Compare(slotCount(s.Ledger.Jobs[a].Members), slotCount(s.Ledger.Jobs[b].Members))
		})
		es = append(es, *e)
	}
	slices.SortStableFunc(es, func(a, b rackToEmpty) int {
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
func (s *State) canMigrate(j *ledger.Job, a *activeAttempt) bool {
	return s.remaining(j, a) >= minMigrationRemaining && a.phase == phaseRun && !j.Spec.Once && j.Cancelled == "" && j.Attempt < maxMigrationAttempts &&
		!j.Spec.Urgent && !s.Ledger.Config.Classes[j.Spec.Class].Urgent &&
		s.keepsProgress(j)
}

// keeps reports whether jobs like j keep their progress when they are stopped.
func (s *State) keepsProgress(j *ledger.Job) bool {
	return s.Ledger.Learned[ledger.LearnedKey(j.Spec.Organisation, j.Spec.Class)].Keeps()
}

// move holds cells for j in racks that come before e and stops it. It reports
// whether there were any.
func (s *State) migrate(r *schedulingRound, j *ledger.Job, e *rackToEmpty) bool {
	need, err := j.Spec.Need()
	if err != nil {
		return false
	}
	elsewhere := r.free.Clone()
	for i := range elsewhere.Nodes {
		n := &elsewhere.Nodes[i]
		if r.view.RackOrder[n.Rack] >= r.view.RackOrder[e.rack] || r.view.RackUsed[n.Rack] == 0 {
			n.Used = rack.FullMask(n.Slots)
		}
	}
	cells, ok := elsewhere.Place(need, func(n *rack.Node, broken rack.Level) int {
		return r.view.RackOrder[n.Rack]<<4 + int(broken)
	})
	if !ok {
		return false
	}
	s.migratedAt = s.now
	s.reservations[j.ID] = &reservation{organisation: j.Spec.Organisation, cells: cells, since: s.now, migrating: true}
	r.markUsed(cells)
	s.observe(j.Spec.Organisation, j.Spec.Class, "moved", 1)
	s.stopAttempt(s.attempts[j.ID], "it is moved to make rack "+e.rack+" whole")
	return true
}

// movedFirst puts the jobs that are being moved before all others, so that nobody
// takes their organisation's guarantee meanwhile.
func (s *State) sortMigratingFirst(queue []policy.Candidate) {
	slices.SortStableFunc(queue, func(a, b policy.Candidate) int {
		x, y := s.reservations[a.Job], s.reservations[b.Job]
		switch moving := x != nil && x.migrating; {
		case moving == (y != nil && y.migrating):
			return 0
		case moving:
			return -1
		default:
			return 1
		}
	})
}
