package coordinator

import (
	"math"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// refusal records that a placement was impossible earlier in a scheduling pass. Free
// capacity and the set of possible victims only shrink within a pass, so a request that
// asks for at least as much need not be tried.
type refusal struct {
	method placementMethod
	need   jobspec.Resources
	// label is the label that the workers need; empty if any worker was tried.
	label string
	// tasks is the number of tasks that could not be placed together.
	tasks int
	// rank is the rank of the request, which determines the possible victims.
	rank int
	// slowest is the highest pace class of the workers that were considered.
	slowest int
	// stopCost is the most that the preemption of others was allowed to cost, in core seconds.
	stopCost float64
	// reserved is set if reserved workers were excluded: those of reservations that end
	// before until, except the request's own, which is nil for none.
	reserved bool
	until    int64
	own      *reservation
}

// placementMethod is a way of finding places.
type placementMethod uint8

const (
	// placeSingle places tasks independently of each other.
	placeSingle placementMethod = iota
	// placeRack and placeSpread place a gang on one rack or on any workers.
	placeRack
	placeSpread
	// placeOnAny places on any workers, those that are reserved for others included.
	placeOnAny
	// preemptRack and preemptSpread do the same by preempting other work.
	preemptRack
	preemptSpread
)

// covers reports whether f implies that q is impossible too.
func (f *refusal) covers(q *refusal) bool {
	return f.method == q.method && f.tasks <= q.tasks && f.rank <= q.rank && f.slowest >= q.slowest && f.stopCost >= q.stopCost &&
		(f.label == "" || f.label == q.label) && (!f.reserved || q.reserved && f.until <= q.until && (q.own == nil || q.own == f.own)) && f.need.Within(q.need)
}

// refusal returns what r asks for when its tasks are placed by the given method.
func (pool *candidatePool) refusal(r *request, method placementMethod, tasks int) refusal {
	step := &r.spec.Steps[r.step]
	f := refusal{method: method, need: step.Reserved(), label: step.Label, tasks: tasks, slowest: r.paceLimit()}
	if pool.excludesReserved(r) {
		f.reserved, f.until, f.own = true, pool.now+step.Estimate, pool.reservationOf(r)
	}
	if method == preemptRack || method == preemptSpread {
		f.rank, f.stopCost = r.rank, r.maxStopCost
		if f.stopCost == 0 {
			f.stopCost = math.Inf(1)
		}
	}
	return f
}

// refusedAnywhere reports whether the placement is known to be impossible in this pass even on
// the reserved workers.
func (pool *candidatePool) refusedAnywhere(r *request, tasks int) bool {
	q := pool.refusal(r, placeOnAny, tasks)
	q.reserved = false
	return slices.ContainsFunc(pool.refusals, func(f refusal) bool { return f.covers(&q) })
}

// refuseAnywhere records that refusedAnywhere holds, as refuse does.
func (pool *candidatePool) refuseAnywhere(r *request, tasks int) {
	if pool.ownExclusions || r.spec.Steps[r.step].MaxPerWorker > 0 {
		return
	}
	f := pool.refusal(r, placeOnAny, tasks)
	f.reserved = false
	pool.refusals = append(pool.refusals, f)
}

// refused reports whether the placement is known to be impossible in this pass.
func (pool *candidatePool) refused(r *request, method placementMethod, tasks int) bool {
	q := pool.refusal(r, method, tasks)
	return slices.ContainsFunc(pool.refusals, func(f refusal) bool { return f.covers(&q) })
}

// refuse records that a placement was impossible, unless candidates were excluded that
// other requests may use.
func (pool *candidatePool) refuse(r *request, method placementMethod, tasks int) {
	step := &r.spec.Steps[r.step]
	if pool.ownExclusions || step.MaxPerWorker > 0 {
		return
	}
	pool.refusals = append(pool.refusals, pool.refusal(r, method, tasks))
}
