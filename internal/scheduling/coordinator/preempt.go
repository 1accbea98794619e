package coordinator

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/precedence"
)

const (
	// rackChoices is the number of racks on which room could be made that are compared by cost. The
	// best of them is close to the best of hundreds, and takes a fraction of the time.
	rackChoices = 8
	// spreadWorkers is the number of workers on which room is looked for first when tasks are
	// spread over any workers.
	spreadWorkers = 128
)

// preemptInRack places all tasks of a request on one rack by preempting other work, on the rack
// where this has the lowest cost, among the first rackChoices in which it is possible. It reports
// whether it found such a rack.
func (s *State) preemptInRack(r *request, pool *candidatePool, demand *placement.Request) bool {
	if pool.refused(r, preemptRack, demand.Tasks) {
		return false
	}
	racks := s.racksByRoom(pool, demand)
	for set := range s.victimSets(r, pool) {
		var places, stopped []int
		bestCost, tried := -1.0, 0
		for _, rack := range racks {
			p, v, cost := pool.tryVictims(r, set, rack, pool.racks[rack], demand)
			if len(p) < demand.Tasks {
				continue
			}
			if bestCost < 0 || cost < bestCost {
				places, stopped, bestCost = p, v, cost
			}
			if tried++; tried == rackChoices {
				break
			}
		}
		if places != nil && r.stopsCostTooMuch(bestCost) {
			break
		}
		if places != nil {
			s.commitPlacement(r, pool, r.indices, places, set.take(stopped))
			return true
		}
	}
	pool.refuse(r, preemptRack, demand.Tasks)
	return false
}

// racksByRoom returns the racks, those on which most tasks of a request fit first. Equal ones are
// returned in another order each time, so that different racks are used.
func (s *State) racksByRoom(pool *candidatePool, demand *placement.Request) []string {
	if pool.rackNames == nil {
		pool.rackNames = sortedKeys(pool.racks)
	}
	pool.searches++
	first := pool.searches * rackChoices % len(pool.rackNames)
	racks := append(slices.Clone(pool.rackNames[first:]), pool.rackNames[:first]...)
	fits := make(map[string]int, len(racks))
	for _, rack := range racks {
		for _, i := range pool.racks[rack] {
			fits[rack] += demand.Fit(&pool.candidates[i])
		}
	}
	slices.SortStableFunc(racks, func(a, b string) int { return cmp.Compare(fits[b], fits[a]) })
	return racks
}

// tryVictims looks for places for a request on the candidates at indices, with the victims of a set
// that run there. where names the candidates; it is a rack or allWorkers. What has failed in the
// pass is not tried again, since victims and free capacity only become fewer.
func (pool *candidatePool) tryVictims(r *request, set *victimSet, where string, indices []int, demand *placement.Request) (places, stopped []int, cost float64) {
	q := pool.refusal(r, preemptSpread, demand.Tasks)
	if slices.ContainsFunc(set.refusals[where], func(f refusal) bool { return f.covers(&q) }) {
		return nil, nil, 0
	}
	eligible := set.byRack[where]
	if where == allWorkers {
		eligible = set.all
	}
	if eligible = set.available(eligible); len(eligible) == 0 {
		return nil, nil, 0
	}
	places, stopped, cost = placement.PlaceWithPreemption(pool.candidates, indices, demand, set.victims, eligible)
	if len(places) < demand.Tasks && !pool.ownExclusions && demand.Step.MaxPerWorker == 0 {
		set.refusals[where] = append(set.refusals[where], q)
	}
	return places, stopped, cost
}

// allWorkers stands for all workers in place of a rack.
const allWorkers = "*"

// minRanks holds the lowest ranks of the work that may be preempted.
type minRanks struct {
	// ordinary is of work that ends by itself, lasting of long-running steps.
	ordinary, lasting int
}

const (
	// rankStopping is the rank of runs that are being stopped already. What waits for their end
	// needs no further stop.
	rankStopping = math.MaxInt - 1
	// noRank is higher than any rank.
	noRank = math.MaxInt
)

// preemptableRanks returns what a request may preempt, in the order in which it is tried: what is
// being stopped already, and then, if mayPreempt holds, work of the lowest priority first.
// Guaranteed work preempts other urgent work only if preempting non-urgent work does not free
// enough capacity, and lasting work only if preempting all the rest does not. Other urgent work
// does not preempt lasting work, which nobody owes it.
func (s *State) preemptableRanks(r *request, pool *candidatePool) []minRanks {
	ranks := []minRanks{{rankStopping, rankStopping}}
	if !s.mayPreempt(r) {
		return ranks
	}
	for _, rank := range s.nonUrgentRanks(pool) {
		ranks = append(ranks, minRanks{rank, noRank})
	}
	if r.rank == rankGuaranteed {
		ranks = append(ranks, minRanks{rankUrgent, noRank}, minRanks{rankUrgent, rankNonUrgent}, minRanks{rankUrgent, rankUrgent})
	}
	return ranks
}

// nonUrgentRanks returns the ranks of the work on the pool's workers that is not urgent, the
// highest first.
func (s *State) nonUrgentRanks(pool *candidatePool) []int {
	if pool.nonUrgentRanks != nil {
		return pool.nonUrgentRanks
	}
	ranks := []int{rankNonUrgent}
	for _, u := range s.preemptableUnits(pool) {
		if u.rank > rankNonUrgent && u.rank != rankStopping && !slices.Contains(ranks, u.rank) {
			ranks = append(ranks, u.rank)
		}
	}
	slices.SortFunc(ranks, func(a, b int) int { return cmp.Compare(b, a) })
	pool.nonUrgentRanks = ranks
	return ranks
}

// victimSets yields the sets of victims for a request in the order in which they are tried.
// Each contains the one before it; those that add nothing are left out.
func (s *State) victimSets(r *request, pool *candidatePool) iter.Seq[*victimSet] {
	return func(yield func(*victimSet) bool) {
		units := 0
		for _, ranks := range s.preemptableRanks(r, pool) {
			set := s.victims(pool, ranks)
			if len(set.units) == units {
				continue
			}
			units = len(set.units)
			if !yield(set) {
				return
			}
		}
	}
}

// preempt places the tasks at indices on the eligible candidates by preempting other
// work, or does nothing if that does not free enough capacity for all of them. It reports whether
// it has placed them.
func (s *State) preempt(r *request, pool *candidatePool, indices []int, demand *placement.Request, eligible []int) bool {
	if pool.refused(r, preemptSpread, demand.Tasks) {
		return false
	}
	everywhere := len(eligible) == len(pool.candidates)
	for set := range s.victimSets(r, pool) {
		var places, stopped []int
		var cost float64
		if everywhere {
			places, stopped, cost = s.preemptOnSome(pool, demand, set)
		}
		if len(places) < demand.Tasks {
			places, stopped, cost = pool.tryVictims(r, set, allWorkers, eligible, demand)
		}
		if len(places) == demand.Tasks && r.stopsCostTooMuch(cost) {
			break
		}
		if len(places) == demand.Tasks {
			s.commitPlacement(r, pool, indices, places, set.take(stopped))
			return true
		}
	}
	if everywhere {
		pool.refuse(r, preemptSpread, demand.Tasks)
	}
	return false
}

// preemptOnSome looks for places on spreadWorkers workers that change with each search.
func (s *State) preemptOnSome(pool *candidatePool, demand *placement.Request, set *victimSet) (places, stopped []int, cost float64) {
	if len(pool.candidates) < 2*spreadWorkers {
		return nil, nil, 0
	}
	var indices, victims []int
	for _, rack := range s.racksByRoom(pool, demand) {
		indices = append(indices, pool.racks[rack]...)
		victims = append(victims, set.byRack[rack]...)
		if len(indices) >= spreadWorkers {
			break
		}
	}
	slices.Sort(indices)
	slices.Sort(victims)
	victims = set.available(slices.Compact(victims))
	return placement.PlaceWithPreemption(pool.candidates, indices, demand, set.victims, victims)
}

// take returns the units of the victims at indices, which are about to be stopped, and takes
// them from their steps' budgets.
func (set *victimSet) take(indices []int) []*unit {
	out := make([]*unit, 0, len(indices))
	for _, i := range indices {
		out = append(out, set.units[i])
		set.taken[set.units[i]] = true
		if v := &set.victims[i]; v.Budget != nil {
			v.Budget.Left -= v.Runs
		}
	}
	return out
}

func sortedKeys(m map[string][]int) []string {
	ks := make([]string, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}

// victimSet holds the units that may be preempted in a pass, as returned by victims.
type victimSet struct {
	units   []*unit
	victims []placement.Victim
	byRack  map[string][]int
	// all holds the indices of all victims.
	all []int
	// refusals holds, by rack, what could not be placed there with the victims.
	refusals map[string][]refusal
	// taken is that of the pool.
	taken map[*unit]bool
}

// available returns those of the given victims that have not been taken in this pass.
func (set *victimSet) available(indices []int) []int {
	out := make([]int, 0, len(indices))
	for _, i := range indices {
		if !set.taken[set.units[i]] {
			out = append(out, i)
		}
	}
	return out
}

// preemptableUnit is a unit that may be preempted, with its cost and the resources that it frees.
type preemptableUnit struct {
	*unit
	rank   int
	victim placement.Victim
	// racks holds the racks on which the unit runs, in the order of the candidates.
	racks []string
}

// preemptableUnits returns the units of all ranks that may be preempted.
func (s *State) preemptableUnits(pool *candidatePool) []preemptableUnit {
	if pool.preemptable != nil {
		return pool.preemptable
	}
	us := make([]preemptableUnit, 0, len(pool.workers))
	positions := make(map[*unit]int, len(pool.workers))
	for i, w := range pool.workers {
		for _, a := range w.sortedAttempts() {
			stopping := a.phase == phaseStopping
			if stopping && !s.freesSoon(a) || !stopping && (a.orphan || a.phase == phasePlanned || a.job.progress.State.Ended()) {
				continue
			}
			n, ok := positions[a.unit]
			if !ok {
				n = len(us)
				positions[a.unit] = n
				us = append(us, s.preemptableUnit(a))
			}
			u := &us[n]
			u.victim.Add(i, a.need)
			if !stopping {
				stop := precedence.Stop{Lost: s.stopCost(a), Percent: a.percent}
				u.victim.Cost += stop.Cost()
			}
			if !slices.Contains(u.racks, w.rack) {
				u.racks = append(u.racks, w.rack)
			}
		}
	}
	pool.preemptable = us
	return us
}

// preemptableUnit returns the unit of a without what its attempts free and cost.
func (s *State) preemptableUnit(a *attempt) preemptableUnit {
	if a.phase == phaseStopping {
		return preemptableUnit{unit: a.unit, rank: rankStopping}
	}
	return preemptableUnit{unit: a.unit, rank: s.rank(a.job), victim: placement.Victim{
		Cost: restartCost * float64(a.run), Runs: len(a.attempts), Budget: s.stopBudget(a.unit),
	}}
}

// freesSoon reports whether the capacity of a, which is being stopped, can be given to a request
// that waits for the end of a: nothing waits for it yet, and it is not overdue.
func (s *State) freesSoon(a *attempt) bool {
	return len(a.blockedUnits) == 0 && a.w.silentSince == 0 && !s.stopOverdue(a)
}

// victims returns the units of the given ranks or higher that may be preempted.
func (s *State) victims(pool *candidatePool, ranks minRanks) *victimSet {
	if set := pool.victimSets[ranks]; set != nil {
		return set
	}
	set := &victimSet{byRack: make(map[string][]int), refusals: make(map[string][]refusal), taken: pool.taken}
	for _, u := range s.preemptableUnits(pool) {
		minRank := ranks.ordinary
		if u.spec().LongRunning && u.rank != rankStopping {
			minRank = ranks.lasting
		}
		if u.rank < minRank {
			continue
		}
		for _, rack := range u.racks {
			set.byRack[rack] = append(set.byRack[rack], len(set.units))
		}
		set.all = append(set.all, len(set.units))
		set.units, set.victims = append(set.units, u.unit), append(set.victims, u.victim)
	}
	if pool.victimSets == nil {
		pool.victimSets = make(map[minRanks]*victimSet)
	}
	pool.victimSets[ranks] = set
	return set
}

// stopBudget returns how many runs of u's step may still be preempted in this pass; nil if the
// step sets no limit. Those not known to be at work count as missing, whatever the cause.
func (s *State) stopBudget(u *unit) *placement.StopBudget {
	step := u.spec()
	if !step.LongRunning || step.MaxUnavailable == 0 {
		return nil
	}
	id := stepID(u.job, u.occurrence, u.step)
	if b := s.stopBudgets[id]; b != nil {
		return b
	}
	missing := step.Tasks
	for a := range u.job.attempts {
		if a.occurrence == u.occurrence && a.step == u.step && s.atWork(a) {
			missing--
		}
	}
	if s.stopBudgets == nil {
		s.stopBudgets = make(map[jobspec.TaskID]*placement.StopBudget)
	}
	s.stopBudgets[id] = &placement.StopBudget{Left: max(0, step.MaxUnavailable-missing)}
	return s.stopBudgets[id]
}

// atWork reports whether a run of a lasting step is known to serve its users.
func (s *State) atWork(a *attempt) bool {
	return a.phase == phaseRunning && !a.orphan && !a.aborted && a.percent >= 100 && a.w.silentSince == 0
}

// restartCost is the fixed cost of preempting a unit in its first run, in core seconds, since
// its tasks have to be queued again. It grows with the number of the run: otherwise the same
// unit, which loses little by its checkpoints, would be preempted each time.
const restartCost = 20

// stopCost returns what stopping a costs, in core seconds. Lasting work has been of use all
// along, so that stopping it loses the time in which it is away, which is taken to be
// lastingAbsence.
func (s *State) stopCost(a *attempt) float64 {
	if a.spec().LongRunning {
		return lastingAbsence / 1000 * a.spec().Need.Weight()
	}
	return s.lostWork(a)
}

// lastingAbsence is the assumed time until a preempted lasting task is at work again, in
// milliseconds.
const lastingAbsence = 30_000

// lostWork returns the work that would be lost by stopping a, in core seconds. For a
// step with checkpoints it is at most the work of the time that stopping and restoring
// take, since a stop saves a checkpoint.
func (s *State) lostWork(a *attempt) float64 {
	if a.startedAt == 0 {
		return 0
	}
	ms := s.now - a.startedAt
	if a.spec().Checkpoints {
		ms = min(ms, s.RestoreTime+stopTime)
	}
	return float64(ms) / 1000 * a.spec().Need.Weight()
}

// stopTime is how long a stopping run does no work, in milliseconds.
const stopTime = 300
