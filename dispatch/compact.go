package dispatch

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/rack"
)

const (
	// minMigrationInterval is the minimum time between two migrations, in
	// milliseconds.
	minMigrationInterval = 20_000
	// minMigrationRemaining is the least expected remaining run time for which
	// a migration is worthwhile, in milliseconds.
	minMigrationRemaining = 5 * 60_000
	// maxMigrationAttempts is the attempt number from which on a job is no
	// longer migrated.
	maxMigrationAttempts = 16
)

// rackToEmpty is a rack that migrations could free of jobs.
type rackToEmpty struct {
	rack string
	// migratable lists the jobs that can be migrated, largest first.
	migratable []string
}

// compact migrates at most one job by checkpoint, from the last rack in the
// policy's order with a job that can be migrated, to the first rack that is in
// use and has free capacity. Since jobs only move towards the first rack,
// migrations come to an end, and the last racks become entirely free.
func (s *State) compact(r *schedulingRound) {
	for _, e := range s.racksToEmpty(r) {
		for _, id := range e.migratable {
			if s.migrate(r, s.Ledger.Jobs[id], &e) {
				return
			}
		}
	}
}

// compactionDue reports whether a job may be migrated now: fragmentation weighs
// more than completion time, the minimum interval has passed and no migration
// is in progress.
func (s *State) compactionDue() bool {
	p := s.Ledger.Config.Policy
	if s.Policy.NoPreemption || p.FragmentationWeight <= p.CompletionWeight || s.now-s.migratedAt < minMigrationInterval {
		return false
	}
	for _, res := range s.reservations {
		if res.migrating {
			return false
		}
	}
	return true
}

// racksToEmpty returns the racks with jobs that can be migrated, the last in
// the policy's order first.
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
			byRack[name].migratable = append(byRack[name].migratable, id)
		}
	}
	var racks []rackToEmpty
	for _, name := range sortedKeys(byRack) {
		e := byRack[name]
		slices.SortStableFunc(e.migratable, func(a, b string) int {
			return -cmp.Compare(slotCount(s.Ledger.Jobs[a].Members), slotCount(s.Ledger.Jobs[b].Members))
		})
		racks = append(racks, *e)
	}
	slices.SortStableFunc(racks, func(a, b rackToEmpty) int {
		return -cmp.Compare(r.view.RackOrder[a.rack], r.view.RackOrder[b.rack])
	})
	return racks
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

// canMigrate reports whether a running job may be stopped to continue
// elsewhere: it must be repeatable, not urgent, of a kind that keeps its
// progress, and be expected to run for long enough.
func (s *State) canMigrate(j *ledger.Job, a *activeAttempt) bool {
	return s.remaining(j, a) >= minMigrationRemaining && a.phase == phaseRun && !j.Spec.AtMostOnce && j.CancelledBy == "" && j.Attempt < maxMigrationAttempts &&
		!j.Spec.Urgent && !s.Ledger.Config.Classes[j.Spec.Class].Urgent &&
		s.keepsProgress(j)
}

// keepsProgress reports whether jobs like j keep their progress when they are
// stopped.
func (s *State) keepsProgress(j *ledger.Job) bool {
	return s.Ledger.RunStats[ledger.RunStatsKey(j.Spec.Organisation, j.Spec.Class)].MostlySaved()
}

// migrate reserves cells for j in racks that precede e in the policy's order
// and stops the job. It reports whether there were such cells.
func (s *State) migrate(r *schedulingRound, j *ledger.Job, e *rackToEmpty) bool {
	need, err := j.Spec.Need()
	if err != nil {
		return false
	}
	forest := r.free.Clone()
	for i := range forest.Nodes {
		n := &forest.Nodes[i]
		if r.view.RackOrder[n.Rack] >= r.view.RackOrder[e.rack] || r.view.RackUsedSlots[n.Rack] == 0 {
			n.Used = rack.FullMask(n.Slots)
		}
	}
	cells, ok := forest.Place(need, func(n *rack.Node, split rack.Level) int {
		return r.view.RackOrder[n.Rack]<<4 + int(split)
	})
	if !ok {
		return false
	}
	s.migratedAt = s.now
	s.reservations[j.ID] = &reservation{organisation: j.Spec.Organisation, cells: cells, since: s.now, migrating: true}
	r.markUsed(cells)
	s.observe(j.Spec.Organisation, j.Spec.Class, "moved", 1)
	s.stopAttempt(s.attempts[j.ID], "it is migrated to free rack "+e.rack+" of its jobs")
	return true
}

// sortMigratingFirst moves jobs in migration to the front of the queue, so that
// no other job uses their organisation's guarantee in the meantime.
func (s *State) sortMigratingFirst(queue []policy.QueuedJob) {
	slices.SortStableFunc(queue, func(a, b policy.QueuedJob) int {
		x, y := s.reservations[a.Job], s.reservations[b.Job]
		switch migrating := x != nil && x.migrating; {
		case migrating == (y != nil && y.migrating):
			return 0
		case migrating:
			return -1
		default:
			return 1
		}
	})
}
