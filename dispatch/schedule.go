package dispatch

import (
	"cmp"
	"slices"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

const (
	// scheduleEvery bounds how often places are chosen anew while nothing has
	// changed, in milliseconds.
	scheduleInterval = 250
	// holdPatience bounds how long cells are held for a reclaiming job, in
	// milliseconds.
	reservationTimeout = 30_000
	// runTimeQuantile of the observed run times is expected of a waiting job.
	runTimeQuantile = 0.75
	// leastObserved is the number of run times from which they are trusted
	// more than the declared one.
	minObservedRuns = 8
)

// coverKey is what covered depends on.
type coverKey struct {
	org  string
	need rack.Need
}

// planning is one round of choosing places.
type schedulingRound struct {
	plan    *ledger.Plan
	policy  policy.Policy
	weights policy.Weights
	// free holds the accelerated workers and plain the others; slots that
	// cannot be used now are used.
	free, plain rack.Forest
	view        policy.View
	// first is, per organisation, the acceptance of the gang that queues for the
	// organisation's guarantee.
	guaranteeQueueHead map[string]uint64
	// oldest holds the aged gangs that may have cells reserved.
	mayReserve map[string]bool
	// covers remembers what covered has found.
	coverCache map[coverKey]bool
	// whole is the round that this one was narrowed from; nil for none.
	parent *schedulingRound
	// reclaimable is free with the borrowers' slots free.
	reclaimable rack.Forest
}

// schedule chooses places for waiting jobs.
func (s *State) schedule() {
	if !s.dirty && s.now-s.scheduledAt < scheduleInterval {
		return
	}
	s.dirty, s.scheduledAt = false, s.now
	if s.Ledger.Closed(s.DataCentre) != nil {
		return
	}
	queue := s.queuedJobs()
	compacts := s.compactionDue()
	if len(queue) == 0 && !compacts {
		return
	}
	r := s.newRound()
	for i := range queue {
		queue[i].Guaranteed = r.coveredByGuarantee(&queue[i])
	}
	r.policy.Order(queue, r.weights)
	s.sortMigratingFirst(queue)
	s.queueForGuarantees(r, queue)
	r.mayReserve = s.oldestOverdue(queue)
	for i := range queue {
		if !s.place(r, &queue[i]) && r.policy.Strict {
			return
		}
	}
	if compacts {
		s.compact(r)
	}
}

// candidates returns the waiting jobs of the data centre.
func (s *State) queuedJobs() []policy.Candidate {
	var q []policy.Candidate
	open := s.Ledger.OpenJobs()
	for _, id := range sortedKeys(open) {
		j := open[id]
		if j.State != ledger.Queued || j.DataCentre != s.DataCentre || j.Cancelled != "" {
			continue
		}
		if res := s.reservations[id]; res != nil && res.placing {
			continue
		}
		need, err := j.Spec.Need()
		if err != nil {
			continue
		}
		class := s.Ledger.Config.Classes[j.Spec.Class]
		q = append(q, policy.Candidate{
			Job: id, Organisation: j.Spec.Organisation, Class: j.Spec.Class, Need: need,
			Urgent: j.Spec.Urgent || class.Urgent, Once: j.Spec.Once, Priority: class.Priority,
			Waited: max(0, s.wall-j.AcceptedTime), Expected: s.expectedRunTime(j), Accepted: j.Accepted,
		})
	}
	return q
}

// expected returns the expected run time of a job: what its organisation and
// class were observed to take, or else what it declares.
func (s *State) expectedRunTime(j *ledger.Job) int64 {
	if s.Policy.Unlearned {
		return j.Spec.RunTime
	}
	k := ledger.LearnedKey(j.Spec.Organisation, j.Spec.Class)
	if ms, ok := s.Ledger.Learned[k].Quantile(runTimeQuantile, minObservedRuns); ok {
		return ms
	}
	return j.Spec.RunTime
}

// rest returns how long a running job is expected to go on, in milliseconds. One
// that has run for longer than expected is expected to go on for a quarter of
// that time: run times have a long tail.
func (s *State) remaining(j *ledger.Job, a *activeAttempt) int64 {
	const tail = 4
	elapsed := s.now - a.placedAt
	return max(s.expectedRunTime(j)-elapsed, elapsed/tail)
}

// newPlanning returns a round with the holds taken into account.
func (s *State) newRound() *schedulingRound {
	p := s.Ledger.Config.Policy
	r := &schedulingRound{
		plan: s.Ledger.Plan(s.DataCentre), policy: s.Policy.Resolve(), coverCache: map[coverKey]bool{}, guaranteeQueueHead: map[string]uint64{},
		weights: policy.Weights{Completion: p.CompletionWeight, Fragmentation: p.FragmentationWeight},
	}
	held := map[string]rack.Mask{}
	for _, id := range sortedKeys(s.reservations) {
		res := s.reservations[id]
		if res.placing {
			r.plan.Take(res.organisation, res.cells, res.virtual)
		}
		for _, c := range res.cells {
			held[c.Node] |= c.Mask
		}
	}
	for _, n := range s.Ledger.WorkerNames(s.DataCentre) {
		s.addNode(r, n, held[n])
	}
	r.view = s.policyView(r)
	return r
}

// policyView returns what the policy's Rank may know.
func (s *State) policyView(r *schedulingRound) policy.View {
	v := policy.View{RackUsed: map[string]int{}, RackOnce: map[string]int{}, RackUntil: map[string]int64{}}
	for i := range r.free.Nodes {
		n := &r.free.Nodes[i]
		if _, ok := v.RackUsed[n.Rack]; !ok {
			v.RackUsed[n.Rack] = rack.LevelRack.Slots()
		}
		v.RackUsed[n.Rack] -= n.Free().Count()
	}
	v.RackOrder = rackOrder(r.free.Nodes)
	for _, a := range s.attempts {
		j := s.Ledger.Jobs[a.job]
		if j == nil {
			continue
		}
		left := s.remaining(j, a)
		for _, m := range j.Members {
			if w := s.Ledger.Workers[m.Worker]; w != nil {
				v.RackUntil[w.Rack] = max(v.RackUntil[w.Rack], left)
				if j.Spec.Once {
					v.RackOnce[w.Rack] += m.Mask.Count()
				}
			}
		}
	}
	return v
}

// rackOrder numbers the racks of nodes, which are sorted by rack.
func rackOrder(nodes []rack.Node) map[string]int {
	slots := map[string]int{}
	for i := range nodes {
		slots[nodes[i].Rack] += nodes[i].Slots
	}
	names := sortedKeys(slots)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(slots[a], slots[b]) })
	order := map[string]int{}
	for i, n := range names {
		order[n] = i
	}
	return order
}

// addNode enters a worker into the forests of a round.
func (s *State) addNode(r *schedulingRound, name string, held rack.Mask) {
	usable := s.usableSlots(name)
	if usable == 0 {
		return
	}
	w := s.Ledger.Workers[name]
	v := s.view(name)
	foreign := v.unaccountedMask(r.plan.Taken(name) | held)
	busy := r.plan.Taken(name) | held | v.smallMask() | foreign
	if s.onProbation(name) && r.plan.Taken(name) != 0 {
		busy = rack.FullMask(w.Slots)
	}
	n := rack.Node{Name: name, Rack: w.Rack, Slots: w.Slots, Used: busy & rack.FullMask(w.Slots)}
	if !w.Accelerated {
		r.plain.Add(n)
		return
	}
	r.free.Add(n)
	n.Used = (r.plan.Fixed(name) | held | foreign&^v.smallMask()) & rack.FullMask(w.Slots)
	if s.onProbation(name) {
		n.Used = rack.FullMask(w.Slots)
	}
	r.reclaimable.Add(n)
}

// queueForGuarantees finds, per organisation, the oldest gang that has waited
// long for its guarantee while its own organisation's smaller jobs use it. Until
// it is placed, younger jobs of the organisation may only borrow.
func (s *State) queueForGuarantees(r *schedulingRound, queue []policy.Candidate) {
	if r.policy.NoGangHold {
		return
	}
	for i := range queue {
		c := &queue[i]
		if c.Guaranteed || !s.overdue(c, guaranteeAgeShare) || !r.plan.Holds(c.Organisation, c.Need) {
			continue
		}
		if first, ok := r.guaranteeQueueHead[c.Organisation]; !ok || c.Accepted < first {
			r.guaranteeQueueHead[c.Organisation] = c.Accepted
		}
	}
}

// mayClaim reports whether c may use its organisation's guarantee now.
func (r *schedulingRound) mayUseGuarantee(c *policy.Candidate) bool {
	first, queued := r.guaranteeQueueHead[c.Organisation]
	return !r.policy.NoReclaim && (!queued || c.Accepted <= first)
}

// covered reports whether the unused guarantee of c's organisation covers it.
func (r *schedulingRound) coveredByGuarantee(c *policy.Candidate) bool {
	k := coverKey{org: c.Organisation, need: c.Need}
	ok, known := r.coverCache[k]
	if !known {
		_, ok = r.plan.Guarantee(c.Organisation, c.Need)
		r.coverCache[k] = ok
	}
	return ok
}

// place places one candidate, or holds cells for it. It reports whether the
// candidate is being placed.
func (s *State) place(r *schedulingRound, c *policy.Candidate) bool {
	j := s.Ledger.Jobs[c.Job]
	if avoid := s.avoidedWorkers(j, c); len(avoid) > 0 {
		r = r.withoutWorkers(avoid)
	}
	res := s.reservations[c.Job]
	if res != nil && !res.overdue {
		if res.migrating && c.Guaranteed && r.mayUseGuarantee(c) {
			r.useGuarantee(c, res)
		}
		return s.placeReserved(r, j, res)
	}
	if res != nil {
		// The cells kept for a gang must not stand in its own way.
		s.releaseCells(r, res)
	}
	if virtual, ok := r.plan.Guarantee(c.Organisation, c.Need); ok && r.mayUseGuarantee(c) {
		if s.placeGuaranteed(r, c, j, virtual) {
			return true
		}
	}
	if s.placeBorrowing(r, c, j) {
		return true
	}
	if res != nil {
		r.markUsed(res.cells)
	}
	return !r.policy.NoGangHold && s.placeOverdue(r, c, j, res)
}

// gangAge returns the age bound of gangs, in milliseconds.
func (s *State) gangAge() int64 {
	if a := s.Ledger.Config.Policy.GangAge; a > 0 {
		return a
	}
	return config.DefaultGangAge
}

// placeGuaranteed places a job within its organisation's guarantee: on free
// cells, or by reclaiming cells from borrowers.
func (s *State) placeGuaranteed(r *schedulingRound, c *policy.Candidate, j *ledger.Job, virtual []rack.Cell) bool {
	rank := r.policy.Rank(c, &r.view, r.weights)
	if cells, ok := r.free.Place(c.Need, rank); ok && r.plan.Keeps(c.Organisation, cells, virtual) {
		s.recordPlacement(r, j, cells, virtual)
		return true
	}
	for _, rank := range []rack.Rank{s.rankByLostWork(r), rack.BestFit} {
		cells, ok := r.reclaimable.Place(c.Need, rank)
		if ok && r.plan.Keeps(c.Organisation, cells, virtual) {
			s.reclaim(r, c, cells, virtual)
			return true
		}
	}
	return false
}

// placeFree places a job as a borrower on free cells.
func (s *State) placeBorrowing(r *schedulingRound, c *policy.Candidate, j *ledger.Job) bool {
	rank := r.policy.Rank(c, &r.view, r.weights)
	if j.Spec.Accelerators == 0 {
		if cells, ok := r.plain.Place(c.Need, rank); ok {
			s.recordPlacement(r, j, cells, nil)
			return true
		}
	}
	cells, ok := r.free.Place(c.Need, rank)
	if !ok {
		return false
	}
	s.recordPlacement(r, j, cells, nil)
	return true
}

// avoided returns the workers that j must not go to: those on which it has
// failed, and for once-only jobs and gangs those on trial.
func (s *State) avoidedWorkers(j *ledger.Job, c *policy.Candidate) []string {
	names := j.FailedOn
	if !j.Spec.Once && c.Need.Members == 1 {
		return names
	}
	for _, n := range s.Ledger.WorkerNames(s.DataCentre) {
		if s.onProbation(n) {
			names = append(slices.Clip(names), n)
		}
	}
	return names
}

// writePlace records a place and marks its cells in the round.
func (s *State) recordPlacement(r *schedulingRound, j *ledger.Job, cells, virtual []rack.Cell) {
	p := &record.Place{
		Job: j.ID, Attempt: j.Attempt + 1, Term: s.term(),
		Guaranteed: len(virtual) > 0, Abstract: virtual,
	}
	for _, c := range cells {
		p.Members = append(p.Members, record.Member{
			Worker: c.Node, Incarnation: s.Ledger.Workers[c.Node].Incarnation, Mask: c.Mask,
		})
	}
	s.reservations[j.ID] = &reservation{organisation: j.Spec.Organisation, cells: cells, virtual: virtual, since: s.now, placing: true}
	r.plan.Take(j.Spec.Organisation, cells, virtual)
	r.markUsed(cells)
	s.enqueueRecord(record.Record{Place: p})
}

// use marks cells as used in the forests of the round.
func (r *schedulingRound) markUsed(cells []rack.Cell) {
	for ; r != nil; r = r.parent {
		for _, f := range []*rack.Forest{&r.free, &r.plain, &r.reclaimable} {
			for _, c := range cells {
				if n := f.Node(c.Node); n != nil {
					n.Used |= c.Mask
				}
			}
		}
	}
}

// without returns the round for a job that must not go to the named workers,
// since it has failed there.
func (r *schedulingRound) withoutWorkers(names []string) *schedulingRound {
	w := *r
	w.parent = r
	w.free, w.plain, w.reclaimable = r.free.Clone(), r.plain.Clone(), r.reclaimable.Clone()
	for _, f := range []*rack.Forest{&w.free, &w.plain, &w.reclaimable} {
		for _, name := range names {
			if n := f.Node(name); n != nil {
				n.Used = rack.FullMask(n.Slots)
			}
		}
	}
	return &w
}
