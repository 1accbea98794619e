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
	scheduleEvery = 250
	// holdPatience bounds how long cells are held for a reclaiming job, in
	// milliseconds.
	holdPatience = 30_000
	// runTimeQuantile of the observed run times is expected of a waiting job.
	runTimeQuantile = 0.75
	// leastObserved is the number of run times from which they are trusted
	// more than the declared one.
	leastObserved = 8
)

// coverKey is what covered depends on.
type coverKey struct {
	org  string
	need rack.Need
}

// planning is one round of choosing places.
type planning struct {
	plan    *ledger.Plan
	policy  policy.Policy
	weights policy.Weights
	// free holds the accelerated workers and plain the others; slots that
	// cannot be used now are used.
	free, plain rack.Forest
	view        policy.View
	// first is, per organisation, the acceptance of the gang that queues for the
	// organisation's guarantee.
	first map[string]uint64
	// oldest holds the aged gangs that may have cells reserved.
	oldest map[string]bool
	// covers remembers what covered has found.
	covers map[coverKey]bool
	// whole is the round that this one was narrowed from; nil for none.
	whole *planning
	// reclaimable is free with the borrowers' slots free.
	reclaimable rack.Forest
}

// schedule chooses places for waiting jobs.
func (s *State) schedule() {
	if !s.dirty && s.now-s.scheduledAt < scheduleEvery {
		return
	}
	s.dirty, s.scheduledAt = false, s.now
	if s.Ledger.CheckOpen(s.DataCentre) != nil {
		return
	}
	queue := s.candidates()
	compacts := s.compacts()
	if len(queue) == 0 && !compacts {
		return
	}
	r := s.newPlanning()
	for i := range queue {
		queue[i].Guaranteed = r.covered(&queue[i])
	}
	r.policy.Order(queue, r.weights)
	s.movedFirst(queue)
	s.queueForGuarantees(r, queue)
	r.oldest = s.oldestAged(queue)
	for i := range queue {
		if !s.place(r, &queue[i]) && r.policy.NoBackfill {
			return
		}
	}
	if compacts {
		s.compact(r)
	}
}

// candidates returns the waiting jobs of the data centre.
func (s *State) candidates() []policy.QueuedJob {
	var q []policy.QueuedJob
	open := s.Ledger.OpenJobs()
	for _, id := range sortedKeys(open) {
		j := open[id]
		if j.State != ledger.Queued || j.DataCentre != s.DataCentre || j.CancelledBy != "" {
			continue
		}
		if h := s.holds[id]; h != nil && h.placing {
			continue
		}
		need, err := j.Spec.Need()
		if err != nil {
			continue
		}
		class := s.Ledger.Config.Classes[j.Spec.Class]
		q = append(q, policy.QueuedJob{
			Job: id, Organisation: j.Spec.Organisation, Class: j.Spec.Class, Need: need,
			Urgent: j.Spec.Urgent || class.Urgent, AtMostOnce: j.Spec.AtMostOnce, Priority: class.Priority,
			Waited: max(0, s.wall-j.AcceptedTime), ExpectedRunTime: s.expected(j), Accepted: j.AcceptedOffset,
		})
	}
	return q
}

// expected returns the expected run time of a job: what its organisation and
// class were observed to take, or else what it declares.
func (s *State) expected(j *ledger.Job) int64 {
	if s.Policy.DeclaredRunTimes {
		return j.Spec.RunTime
	}
	k := ledger.RunStatsKey(j.Spec.Organisation, j.Spec.Class)
	if ms, ok := s.Ledger.RunStats[k].RunTimeQuantile(runTimeQuantile, leastObserved); ok {
		return ms
	}
	return j.Spec.RunTime
}

// rest returns how long a running job is expected to go on, in milliseconds. One
// that has run for longer than expected is expected to go on for a quarter of
// that time: run times have a long tail.
func (s *State) rest(j *ledger.Job, d *drive) int64 {
	const tail = 4
	elapsed := s.now - d.placedAt
	return max(s.expected(j)-elapsed, elapsed/tail)
}

// newPlanning returns a round with the holds taken into account.
func (s *State) newPlanning() *planning {
	p := s.Ledger.Config.Policy
	r := &planning{
		plan: s.Ledger.Plan(s.DataCentre), policy: s.Policy.WithDefaults(), covers: map[coverKey]bool{}, first: map[string]uint64{},
		weights: policy.Weights{Completion: p.CompletionWeight, Fragmentation: p.FragmentationWeight},
	}
	held := map[string]rack.Mask{}
	for _, id := range sortedKeys(s.holds) {
		h := s.holds[id]
		if h.placing {
			r.plan.Allocate(h.org, h.cells, h.abstract)
		}
		for _, c := range h.cells {
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
func (s *State) policyView(r *planning) policy.View {
	v := policy.View{RackUsedSlots: map[string]int{}, RackAtMostOnceSlots: map[string]int{}, RackRemaining: map[string]int64{}}
	for i := range r.free.Nodes {
		n := &r.free.Nodes[i]
		if _, ok := v.RackUsedSlots[n.Rack]; !ok {
			v.RackUsedSlots[n.Rack] = rack.LevelRack.Slots()
		}
		v.RackUsedSlots[n.Rack] -= n.Free().Count()
	}
	v.RackOrder = rackOrder(r.free.Nodes)
	for _, d := range s.drives {
		j := s.Ledger.Jobs[d.job]
		if j == nil {
			continue
		}
		left := s.rest(j, d)
		for _, m := range j.Members {
			if w := s.Ledger.Workers[m.Worker]; w != nil {
				v.RackRemaining[w.Rack] = max(v.RackRemaining[w.Rack], left)
				if j.Spec.AtMostOnce {
					v.RackAtMostOnceSlots[w.Rack] += m.Mask.Count()
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
func (s *State) addNode(r *planning, name string, held rack.Mask) {
	usable := s.usable(name)
	if usable == 0 {
		return
	}
	w := s.Ledger.Workers[name]
	v := s.view(name)
	foreign := v.foreignMask(r.plan.AllocatedSlots(name) | held)
	busy := r.plan.AllocatedSlots(name) | held | v.smallMask() | foreign
	if s.onTrial(name) && r.plan.AllocatedSlots(name) != 0 {
		busy = rack.FullMask(w.Slots)
	}
	n := rack.Node{Name: name, Rack: w.Rack, Slots: w.Slots, Used: busy & rack.FullMask(w.Slots)}
	if !w.Accelerated {
		r.plain.Add(n)
		return
	}
	r.free.Add(n)
	n.Used = (r.plan.GuaranteedSlots(name) | held | foreign&^v.smallMask()) & rack.FullMask(w.Slots)
	if s.onTrial(name) {
		n.Used = rack.FullMask(w.Slots)
	}
	r.reclaimable.Add(n)
}

// queueForGuarantees finds, per organisation, the oldest gang that has waited
// long for its guarantee while its own organisation's smaller jobs use it. Until
// it is placed, younger jobs of the organisation may only borrow.
func (s *State) queueForGuarantees(r *planning, queue []policy.QueuedJob) {
	if r.policy.NoGangReservation {
		return
	}
	for i := range queue {
		c := &queue[i]
		if c.Guaranteed || !s.aged(c, ownAge) || !r.plan.GuaranteeCovers(c.Organisation, c.Need) {
			continue
		}
		if first, ok := r.first[c.Organisation]; !ok || c.Accepted < first {
			r.first[c.Organisation] = c.Accepted
		}
	}
}

// mayClaim reports whether c may use its organisation's guarantee now.
func (r *planning) mayClaim(c *policy.QueuedJob) bool {
	first, queued := r.first[c.Organisation]
	return !r.policy.NoPreemption && (!queued || c.Accepted <= first)
}

// covered reports whether the unused guarantee of c's organisation covers it.
func (r *planning) covered(c *policy.QueuedJob) bool {
	k := coverKey{org: c.Organisation, need: c.Need}
	ok, known := r.covers[k]
	if !known {
		_, ok = r.plan.FindVirtualCells(c.Organisation, c.Need)
		r.covers[k] = ok
	}
	return ok
}

// place places one candidate, or holds cells for it. It reports whether the
// candidate is being placed.
func (s *State) place(r *planning, c *policy.QueuedJob) bool {
	j := s.Ledger.Jobs[c.Job]
	if avoid := s.avoided(j, c); len(avoid) > 0 {
		r = r.without(avoid)
	}
	h := s.holds[c.Job]
	if h != nil && !h.aged {
		if h.moving && c.Guaranteed && r.mayClaim(c) {
			r.claimAgain(c, h)
		}
		return s.placeHeld(r, j, h)
	}
	if h != nil {
		// The cells kept for a gang must not stand in its own way.
		s.giveBack(r, h)
	}
	if abstract, ok := r.plan.FindVirtualCells(c.Organisation, c.Need); ok && r.mayClaim(c) {
		if s.placeGuaranteed(r, c, j, abstract) {
			return true
		}
	}
	if s.placeFree(r, c, j) {
		return true
	}
	if h != nil {
		r.use(h.cells)
	}
	return !r.policy.NoGangReservation && s.placeAged(r, c, j, h)
}

// gangAge returns the age bound of gangs, in milliseconds.
func (s *State) gangAge() int64 {
	if a := s.Ledger.Config.Policy.GangAgeLimit; a > 0 {
		return a
	}
	return config.DefaultGangAgeLimit
}

// placeGuaranteed places a job within its organisation's guarantee: on free
// cells, or by reclaiming cells from borrowers.
func (s *State) placeGuaranteed(r *planning, c *policy.QueuedJob, j *ledger.Job, abstract []rack.Cell) bool {
	rank := r.policy.Rank(c, &r.view, r.weights)
	if cells, ok := r.free.Place(c.Need, rank); ok && r.plan.PreservesGuarantees(c.Organisation, cells, abstract) {
		s.writePlace(r, j, cells, abstract)
		return true
	}
	for _, rank := range []rack.Rank{s.cheapest(r), rack.BestFit} {
		cells, ok := r.reclaimable.Place(c.Need, rank)
		if ok && r.plan.PreservesGuarantees(c.Organisation, cells, abstract) {
			s.reclaim(r, c, cells, abstract)
			return true
		}
	}
	return false
}

// placeFree places a job as a borrower on free cells.
func (s *State) placeFree(r *planning, c *policy.QueuedJob, j *ledger.Job) bool {
	rank := r.policy.Rank(c, &r.view, r.weights)
	if j.Spec.Accelerators == 0 {
		if cells, ok := r.plain.Place(c.Need, rank); ok {
			s.writePlace(r, j, cells, nil)
			return true
		}
	}
	cells, ok := r.free.Place(c.Need, rank)
	if !ok {
		return false
	}
	s.writePlace(r, j, cells, nil)
	return true
}

// avoided returns the workers that j must not go to: those on which it has
// failed, and for once-only jobs and gangs those on trial.
func (s *State) avoided(j *ledger.Job, c *policy.QueuedJob) []string {
	names := j.FailedOn
	if !j.Spec.AtMostOnce && c.Need.Members == 1 {
		return names
	}
	for _, n := range s.Ledger.WorkerNames(s.DataCentre) {
		if s.onTrial(n) {
			names = append(slices.Clip(names), n)
		}
	}
	return names
}

// writePlace records a place and marks its cells in the round.
func (s *State) writePlace(r *planning, j *ledger.Job, cells, abstract []rack.Cell) {
	p := &record.Place{
		Job: j.ID, Attempt: j.Attempt + 1, Term: s.term(),
		Guaranteed: len(abstract) > 0, VirtualCells: abstract,
	}
	for _, c := range cells {
		p.Members = append(p.Members, record.Member{
			Worker: c.Node, Incarnation: s.Ledger.Workers[c.Node].Incarnation, Mask: c.Mask,
		})
	}
	s.holds[j.ID] = &hold{org: j.Spec.Organisation, cells: cells, abstract: abstract, since: s.now, placing: true}
	r.plan.Allocate(j.Spec.Organisation, cells, abstract)
	r.use(cells)
	s.write(record.Record{Place: p})
}

// use marks cells as used in the forests of the round.
func (r *planning) use(cells []rack.Cell) {
	for ; r != nil; r = r.whole {
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
func (r *planning) without(names []string) *planning {
	w := *r
	w.whole = r
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
