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
	// scheduleInterval is the minimum time between scheduling rounds while
	// nothing has changed, in milliseconds.
	scheduleInterval = 250
	// reservationTimeout limits how long cells are reserved for a job that
	// reclaims them or migrates, in milliseconds.
	reservationTimeout = 30_000
	// runTimeQuantile is the quantile of the observed run times that serves as
	// the expected run time of a job.
	runTimeQuantile = 0.75
	// minObservedRuns is the number of observed run times from which they take
	// precedence over the declared one.
	minObservedRuns = 8
)

// coverKey is the key of coverCache.
type coverKey struct {
	organisation string
	need         rack.Need
}

// schedulingRound is the scratch state of one scheduling round.
type schedulingRound struct {
	plan    *ledger.Plan
	policy  policy.Policy
	weights policy.Weights
	// free holds the accelerated workers and plain the others. Slots that
	// cannot be used now are marked as used.
	free, plain rack.Forest
	view        policy.View
	// guaranteeQueueHead is, per organisation, the acceptance offset of the
	// oldest gang that queues for the organisation's guarantee.
	guaranteeQueueHead map[string]uint64
	// mayReserve holds the overdue gangs that may have cells reserved.
	mayReserve map[string]bool
	// coverCache holds the results of coveredByGuarantee.
	coverCache map[coverKey]bool
	// parent is the round that this one restricts to fewer workers; nil for
	// none.
	parent *schedulingRound
	// reclaimable is like free, but the slots that borrowers and small requests
	// use count as free.
	reclaimable rack.Forest
}

// schedule runs a scheduling round when one is due.
func (s *State) schedule() {
	if !s.dirty && s.now-s.scheduledAt < scheduleInterval {
		return
	}
	s.dirty, s.scheduledAt = false, s.now
	if s.Ledger.CheckOpen(s.DataCentre) != nil {
		return
	}
	queue := s.queuedJobs()
	compactNow := s.compactionDue()
	if len(queue) == 0 && !compactNow {
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
		if !s.place(r, &queue[i]) && r.policy.NoBackfill {
			return
		}
	}
	if compactNow {
		s.compact(r)
	}
}

// queuedJobs returns the jobs of the data centre that wait to be placed.
func (s *State) queuedJobs() []policy.QueuedJob {
	var jobs []policy.QueuedJob
	open := s.Ledger.OpenJobs()
	for _, id := range sortedKeys(open) {
		j := open[id]
		if j.State != ledger.Queued || j.DataCentre != s.DataCentre || j.CancelledBy != "" {
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
		jobs = append(jobs, policy.QueuedJob{
			Job: id, Organisation: j.Spec.Organisation, Class: j.Spec.Class, Need: need,
			Urgent: j.Spec.Urgent || class.Urgent, AtMostOnce: j.Spec.AtMostOnce, Priority: class.Priority,
			Waited: max(0, s.wall-j.AcceptedTime), ExpectedRunTime: s.expectedRunTime(j), Accepted: j.AcceptedOffset,
		})
	}
	return jobs
}

// expectedRunTime returns the expected run time of a job, in milliseconds: as
// observed for its organisation and class, or else as declared; 0 when neither
// is known.
func (s *State) expectedRunTime(j *ledger.Job) int64 {
	if s.Policy.DeclaredRunTimes {
		return j.Spec.RunTime
	}
	k := ledger.RunStatsKey(j.Spec.Organisation, j.Spec.Class)
	if ms, ok := s.Ledger.RunStats[k].RunTimeQuantile(runTimeQuantile, minObservedRuns); ok {
		return ms
	}
	return j.Spec.RunTime
}

// remaining returns the expected remaining run time of a running job, in
// milliseconds. It is at least a quarter of the time since the attempt was
// placed, also when that time exceeds the expected run time, because run times
// have a long tail.
func (s *State) remaining(j *ledger.Job, a *activeAttempt) int64 {
	const tailDivisor = 4
	elapsed := s.now - a.placedAt
	return max(s.expectedRunTime(j)-elapsed, elapsed/tailDivisor)
}

// newRound returns a round that accounts for all reservations.
func (s *State) newRound() *schedulingRound {
	p := s.Ledger.Config.Policy
	r := &schedulingRound{
		plan: s.Ledger.Plan(s.DataCentre), policy: s.Policy.WithDefaults(), coverCache: map[coverKey]bool{}, guaranteeQueueHead: map[string]uint64{},
		weights: policy.Weights{Completion: p.CompletionWeight, Fragmentation: p.FragmentationWeight},
	}
	reserved := map[string]rack.Mask{}
	for _, id := range sortedKeys(s.reservations) {
		res := s.reservations[id]
		if res.placing {
			r.plan.Allocate(res.organisation, res.cells, res.virtual)
		}
		for _, c := range res.cells {
			reserved[c.Node] |= c.Mask
		}
	}
	for _, n := range s.Ledger.WorkerNames(s.DataCentre) {
		s.addNode(r, n, reserved[n])
	}
	r.view = s.policyView(r)
	return r
}

// policyView returns the state of the racks for the policy's Rank function.
func (s *State) policyView(r *schedulingRound) policy.View {
	v := policy.View{RackUsedSlots: map[string]int{}, RackAtMostOnceSlots: map[string]int{}, RackRemaining: map[string]int64{}}
	for i := range r.free.Nodes {
		n := &r.free.Nodes[i]
		if _, ok := v.RackUsedSlots[n.Rack]; !ok {
			v.RackUsedSlots[n.Rack] = rack.LevelRack.Slots()
		}
		v.RackUsedSlots[n.Rack] -= n.Free().Count()
	}
	v.RackOrder = rackOrder(r.free.Nodes)
	for _, a := range s.attempts {
		j := s.Ledger.Jobs[a.job]
		if j == nil {
			continue
		}
		remaining := s.remaining(j, a)
		for _, m := range j.Members {
			if w := s.Ledger.Workers[m.Worker]; w != nil {
				v.RackRemaining[w.Rack] = max(v.RackRemaining[w.Rack], remaining)
				if j.Spec.AtMostOnce {
					v.RackAtMostOnceSlots[w.Rack] += m.Mask.Count()
				}
			}
		}
	}
	return v
}

// rackOrder numbers the racks of nodes, those with the fewest slots first and
// racks of equal size by name.
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

// addNode adds a worker to the forests of a round.
func (s *State) addNode(r *schedulingRound, name string, reserved rack.Mask) {
	usable := s.usableSlots(name)
	if usable == 0 {
		return
	}
	w := s.Ledger.Workers[name]
	v := s.view(name)
	unaccounted := v.unaccountedMask(r.plan.AllocatedSlots(name) | reserved)
	busy := r.plan.AllocatedSlots(name) | reserved | v.smallMask() | unaccounted
	if s.onProbation(name) && r.plan.AllocatedSlots(name) != 0 {
		busy = rack.FullMask(w.Slots)
	}
	n := rack.Node{Name: name, Rack: w.Rack, Slots: w.Slots, Used: busy & rack.FullMask(w.Slots)}
	if !w.Accelerated {
		r.plain.Add(n)
		return
	}
	r.free.Add(n)
	n.Used = (r.plan.GuaranteedSlots(name) | reserved | unaccounted&^v.smallMask()) & rack.FullMask(w.Slots)
	if s.onProbation(name) {
		n.Used = rack.FullMask(w.Slots)
	}
	r.reclaimable.Add(n)
}

// queueForGuarantees finds, per organisation, the oldest gang that has waited
// for longer than guaranteeAgeShare for its guarantee because smaller jobs of its
// own organisation use it. Until the gang is placed, younger jobs of the
// organisation may only borrow.
func (s *State) queueForGuarantees(r *schedulingRound, queue []policy.QueuedJob) {
	if r.policy.NoGangReservation {
		return
	}
	for i := range queue {
		q := &queue[i]
		if q.Guaranteed || !s.overdue(q, guaranteeAgeShare) || !r.plan.GuaranteeCovers(q.Organisation, q.Need) {
			continue
		}
		if head, ok := r.guaranteeQueueHead[q.Organisation]; !ok || q.Accepted < head {
			r.guaranteeQueueHead[q.Organisation] = q.Accepted
		}
	}
}

// mayUseGuarantee reports whether q may use its organisation's guarantee now.
func (r *schedulingRound) mayUseGuarantee(q *policy.QueuedJob) bool {
	head, queued := r.guaranteeQueueHead[q.Organisation]
	return !r.policy.NoPreemption && (!queued || q.Accepted <= head)
}

// coveredByGuarantee reports whether the unused guarantee of q's organisation
// covers q.
func (r *schedulingRound) coveredByGuarantee(q *policy.QueuedJob) bool {
	k := coverKey{organisation: q.Organisation, need: q.Need}
	ok, known := r.coverCache[k]
	if !known {
		_, ok = r.plan.FindVirtualCells(q.Organisation, q.Need)
		r.coverCache[k] = ok
	}
	return ok
}

// place places one job, or reserves cells for it. It reports whether the job is
// being placed.
func (s *State) place(r *schedulingRound, q *policy.QueuedJob) bool {
	j := s.Ledger.Jobs[q.Job]
	if avoid := s.avoidedWorkers(j, q); len(avoid) > 0 {
		r = r.withoutWorkers(avoid)
	}
	res := s.reservations[q.Job]
	if res != nil && !res.overdue {
		if res.migrating && q.Guaranteed && r.mayUseGuarantee(q) {
			r.useGuarantee(q, res)
		}
		return s.placeReserved(r, j, res)
	}
	if res != nil {
		// The reservation of a gang must not block the gang itself.
		s.releaseCells(r, res)
	}
	if virtual, ok := r.plan.FindVirtualCells(q.Organisation, q.Need); ok && r.mayUseGuarantee(q) {
		if s.placeGuaranteed(r, q, j, virtual) {
			return true
		}
	}
	if s.placeBorrowing(r, q, j) {
		return true
	}
	if res != nil {
		r.markUsed(res.cells)
	}
	return !r.policy.NoGangReservation && s.placeOverdue(r, q, j, res)
}

// gangAgeLimit returns the age limit of gangs, in milliseconds.
func (s *State) gangAgeLimit() int64 {
	if a := s.Ledger.Config.Policy.GangAgeLimit; a > 0 {
		return a
	}
	return config.DefaultGangAgeLimit
}

// placeGuaranteed places a job within its organisation's guarantee: on free
// cells, or by reclaiming cells from borrowers. It reports whether either
// succeeded.
func (s *State) placeGuaranteed(r *schedulingRound, q *policy.QueuedJob, j *ledger.Job, virtual []rack.Cell) bool {
	rank := r.policy.Rank(q, &r.view, r.weights)
	if cells, ok := r.free.Place(q.Need, rank); ok && r.plan.PreservesGuarantees(q.Organisation, cells, virtual) {
		s.recordPlacement(r, j, cells, virtual)
		return true
	}
	for _, rank := range []rack.Rank{s.rankByLostWork(r), rack.BestFit} {
		cells, ok := r.reclaimable.Place(q.Need, rank)
		if ok && r.plan.PreservesGuarantees(q.Organisation, cells, virtual) {
			s.reclaim(r, q, cells, virtual)
			return true
		}
	}
	return false
}

// placeBorrowing places a job on free cells as a borrower, that is, outside its
// organisation's guarantee. It reports whether there were such cells.
func (s *State) placeBorrowing(r *schedulingRound, q *policy.QueuedJob, j *ledger.Job) bool {
	rank := r.policy.Rank(q, &r.view, r.weights)
	if j.Spec.Accelerators == 0 {
		if cells, ok := r.plain.Place(q.Need, rank); ok {
			s.recordPlacement(r, j, cells, nil)
			return true
		}
	}
	cells, ok := r.free.Place(q.Need, rank)
	if !ok {
		return false
	}
	s.recordPlacement(r, j, cells, nil)
	return true
}

// avoidedWorkers returns the workers on which j must not be placed: those on
// which it has failed, and for at-most-once jobs and gangs also those on
// probation.
func (s *State) avoidedWorkers(j *ledger.Job, q *policy.QueuedJob) []string {
	names := j.FailedOn
	if !j.Spec.AtMostOnce && q.Need.Members == 1 {
		return names
	}
	for _, n := range s.Ledger.WorkerNames(s.DataCentre) {
		if s.onProbation(n) {
			names = append(slices.Clip(names), n)
		}
	}
	return names
}

// recordPlacement enqueues the Place record of a job. Its cells count as used in
// the round and stay reserved until the verdict.
func (s *State) recordPlacement(r *schedulingRound, j *ledger.Job, cells, virtual []rack.Cell) {
	p := &record.Place{
		Job: j.ID, Attempt: j.Attempt + 1, Term: s.term(),
		Guaranteed: len(virtual) > 0, VirtualCells: virtual,
	}
	for _, c := range cells {
		p.Members = append(p.Members, record.Member{
			Worker: c.Node, Incarnation: s.Ledger.Workers[c.Node].Incarnation, Mask: c.Mask,
		})
	}
	s.reservations[j.ID] = &reservation{organisation: j.Spec.Organisation, cells: cells, virtual: virtual, since: s.now, placing: true}
	r.plan.Allocate(j.Spec.Organisation, cells, virtual)
	r.markUsed(cells)
	s.enqueueRecord(record.Record{Place: p})
}

// markUsed marks cells as used in the forests of the round.
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

// withoutWorkers returns a copy of the round in which the named workers have no
// free slots.
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
