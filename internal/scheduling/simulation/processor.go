package simulation

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
)

// processor handles a coordinator's events one after the other, each for as long as the work that
// it causes takes. It is used if Scenario.CallRate is set.
type processor struct {
	// waiting holds the events that have not been handled, in the order of their arrival, but
	// changes of evacuations and then recorded batches first, as the driver handles them. Their Now is when they arrived.
	waiting []coordinator.Event
	// busy is set while an event is handled, and tickWaiting while waiting has an event without
	// content.
	busy, tickWaiting bool
	// examined is the value of State.Examined after the last event.
	examined int
	// waited and took are how long the last event waited and took, in milliseconds.
	waited, took int64
	// fraction is the part of a millisecond that has been worked and not been waited for.
	fraction float64
}

const (
	// examinedPerCall is the number of comparisons of a request with a worker that take as much
	// processor time as a call.
	examinedPerCall = 4000
	// eventCalls is what handling an event takes besides, in calls. The answer to a call is one.
	eventCalls = 0.25
	// effectCalls is what an order or a record takes until it is sent, in calls.
	effectCalls = 0.75
)

// enqueue adds an event to those that wait for the processor. A tick is dropped while another one
// waits, as those of a timer are.
func (h *coordinatorHost) enqueue(e coordinator.Event) {
	if e == (coordinator.Event{}) {
		if h.tickWaiting {
			return
		}
		h.tickWaiting = true
	}
	e.Now = h.cluster.now
	switch {
	case e.Evacuated != nil:
		h.waiting = slices.Insert(h.waiting, 0, e)
	case e.Recorded != nil:
		first := 0
		for first < len(h.waiting) && h.waiting[first].Evacuated != nil {
			first++
		}
		h.waiting = slices.Insert(h.waiting, first, e)
	default:
		h.waiting = append(h.waiting, e)
	}
	h.handleNext()
}

// handleNext handles the next event that waits if the processor is free.
func (h *coordinatorHost) handleNext() {
	if h.busy || h.stopped || h.suspended || len(h.waiting) == 0 {
		return
	}
	e := h.waiting[0]
	h.waiting = h.waiting[1:]
	if e == (coordinator.Event{Now: e.Now}) {
		h.tickWaiting = false
	}
	if e.Recorded == nil && e.Evacuated == nil || len(h.waiting) == 0 {
		h.waited = h.cluster.now - e.Now
	}
	e.Waited, e.Took = h.waited, h.took
	e.Now, e.Wall, e.OperatorAge = h.cluster.now, h.cluster.now, h.operatorAge()
	effects := h.state.Apply(&e)
	calls := eventCalls + float64(h.state.Examined()-h.examined)/examinedPerCall
	h.examined = h.state.Examined()
	for i := range effects {
		if effects[i].Log == nil && effects[i].Resign == "" {
			calls += effectCalls
		}
	}
	h.busy = true
	ms := 1000 * calls / h.cluster.CallRate
	h.took = int64(ms)
	h.cluster.LongestTurn = max(h.cluster.LongestTurn, h.took)
	h.work(ms, func() {
		h.busy = false
		h.execute(effects)
		h.handleNext()
	})
}

// work calls do when the processor has worked for another ms milliseconds. Fractions add
// up until they make a millisecond.
func (h *coordinatorHost) work(ms float64, do func()) {
	h.fraction += ms
	whole := int64(h.fraction)
	h.fraction -= float64(whole)
	h.cluster.schedule(whole, do)
}

// replaceSilent starts another coordinator if h has not renewed its claim for replaceDelay.
func (c *Cluster) replaceSilent(h *coordinatorHost) {
	if c.CallRate > 0 && c.leader == h && !c.storeDown && c.now-c.claimWrittenAt > replaceDelay {
		c.LogLines["role taken away"]++
		c.takeOver(false)
	}
}
