package simulation

import (
	"maps"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

const (
	// tickInterval is the time between two ticks of a coordinator, in milliseconds.
	tickInterval = 50
	// takeOverDelay is the time from a coordinator's resignation to the next one's claim,
	// in milliseconds.
	takeOverDelay = 1500
	// orderTimeout is the time after which an order counts as unanswered, in milliseconds.
	orderTimeout = 500
	// orderBytes is the size of an order without its payload.
	orderBytes = 450
)

// coordinatorHost drives a coordinator.State.
type coordinatorHost struct {
	cluster *Cluster
	state   coordinator.State
	term    uint64
	// linkFreeAt is when the link has carried all that was sent, in milliseconds.
	linkFreeAt float64
	processor
	operatorsCopy
	// stopped is set once the coordinator has resigned or died. It then receives no events.
	stopped bool
	// suspending is set shortly before the process is suspended, while what it sends does
	// not leave it any more; held has that. queued has the events that arrive while it is
	// suspended.
	suspending, suspended bool
	held                  []func()
	queued                []coordinator.Event
}

// suspendingTime is how long before a suspension the last call left the process, in
// milliseconds. replaceDelay is the time from a suspension to the claim of another
// coordinator.
const (
	suspendingTime = 5
	replaceDelay   = 1100
)

// freeze suspends a coordinator for d milliseconds.
func (c *Cluster) freeze(h *coordinatorHost, d int64) {
	if h.stopped || h.suspending {
		return
	}
	c.tracef("coordinator %d is suspended for %d ms", h.term, d)
	h.suspending = true
	c.schedule(suspendingTime, func() { h.suspended = true })
	c.schedule(replaceDelay+c.rand.Int64N(tickInterval), func() {
		if h.suspended && c.leader == h {
			c.takeOver(false)
		}
	})
	c.schedule(suspendingTime+d, h.wake)
}

// wake ends the coordinator's suspension. Whether its timers or its calls are first is
// random.
func (h *coordinatorHost) wake() {
	h.suspending, h.suspended = false, false
	held, queued := h.held, h.queued
	h.held, h.queued = nil, nil
	if h.stopped {
		return
	}
	h.cluster.tracef("coordinator %d wakes with %d events and %d calls", h.term, len(queued), len(held))
	for _, do := range held {
		do()
	}
	if h.cluster.rand.IntN(2) == 0 {
		h.apply(coordinator.Event{})
	}
	for _, e := range queued {
		h.apply(e)
	}
	h.handleNext()
}

// send calls do when what is sent now leaves the process.
func (h *coordinatorHost) send(do func()) {
	if h.suspending {
		h.held = append(h.held, do)
		return
	}
	do()
}

// takeOver starts a new coordinator, which claims the role. It waits while the store is
// down.
func (c *Cluster) takeOver(first bool) {
	if c.storeDown {
		c.schedule(tickInterval, func() { c.takeOver(first) })
		return
	}
	host := &coordinatorHost{cluster: c, term: c.table.NextOffset + 1}
	prior := c.table.Claim
	leases, long := coordinator.PriorLeases(&prior, c.leases, c.now-c.claimWrittenAt, c.MaxLease)
	r, err := jobstate.ClaimRecord(&jobstate.Claim{Host: "host", Incarnation: "host-1"})
	if err != nil {
		c.violationf("a claim cannot be encoded: %v", err)
		return
	}
	// Real hosts learn this from the exit record that the next process on the dead
	// coordinator's host writes.
	predecessorsGone := prior.Term == 0 || prior.SoleLeader && c.leader != nil && c.leader.stopped
	c.latestTerm = host.term
	c.write(r)
	c.leader = host
	host.state = coordinator.State{Settings: c.Coordinator, Term: host.term, PriorLeases: leases, PriorLongLeases: long, RecordedLeases: maps.Clone(c.leases), RecordedPaces: maps.Clone(c.paces)}
	host.state.Evacuated = host.startOperators()
	host.execute(host.state.Start(c.now, c.now, &c.table, c.details, c.Configuration, predecessorsGone))
	for _, w := range c.workers {
		if w.listed {
			c.sendEntry(w)
		}
	}
	host.tick()
}

func (h *coordinatorHost) tick() {
	if h.stopped {
		return
	}
	if !h.suspended {
		h.readOperators()
		h.apply(coordinator.Event{})
	}
	h.cluster.replaceSilent(h)
	h.cluster.schedule(tickInterval, h.tick)
}

func (h *coordinatorHost) apply(e coordinator.Event) {
	if h.stopped {
		return
	}
	if h.suspended {
		h.queued = append(h.queued, e)
		return
	}
	if h.cluster.CallRate > 0 {
		h.enqueue(e)
		return
	}
	e.Now, e.Wall, e.OperatorAge = h.cluster.now, h.cluster.now, h.operatorAge()
	h.execute(h.state.Apply(&e))
}

func (h *coordinatorHost) execute(effects []coordinator.Effect) {
	for i := range effects {
		e := &effects[i]
		switch {
		case e.Log != nil:
			h.cluster.LogLines[e.Log.Message]++
			h.cluster.tracef("coordinator %d: %s %v", h.term, e.Log.Message, e.Log.Attrs)
		case e.Record != nil:
			h.send(func() { h.record(e.Record) })
		case e.Start != nil:
			h.send(func() { h.start(e.Start) })
		case e.Stop != nil:
			h.send(func() { h.stop(e.Stop) })
		case e.Poll != nil:
			h.send(func() { h.poll(e.Poll) })
		case e.Resign != "":
			h.stopped = true
			if h.cluster.leader == h {
				h.cluster.schedule(takeOverDelay, func() { h.cluster.takeOver(false) })
			}
		}
	}
}

// record writes a batch, and retries while the store is down. If a later coordinator has
// claimed the role, the store rejects the batch and the coordinator is notified.
func (h *coordinatorHost) record(b *coordinator.Record) {
	sentAt := h.cluster.now
	h.cluster.schedule(h.cluster.NetworkDelay, func() {
		switch {
		case h.cluster.latestTerm > h.term:
			h.apply(coordinator.Event{Replaced: "fenced"})
		case h.cluster.storeDown:
			h.cluster.schedule(2*tickInterval, func() { h.send(func() { h.record(b) }) })
		default:
			for _, r := range b.Details {
				h.cluster.writeDetail(r)
			}
			for _, r := range b.Records {
				h.cluster.write(r)
			}
			if len(b.Records) == 0 {
				sentAt = 0
			}
			h.cluster.schedule(h.cluster.NetworkDelay, func() { h.apply(coordinator.Event{Recorded: &coordinator.Recorded{Batch: b.Batch, SentAt: sentAt}}) })
		}
	})
}

func (c *Cluster) worker(id string) *worker {
	for _, w := range c.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// transmit puts n bytes on the link and returns the time until they have left it, in
// milliseconds.
func (h *coordinatorHost) transmit(n int) int64 {
	if h.cluster.LinkRate == 0 {
		return 0
	}
	now := float64(h.cluster.now)
	h.linkFreeAt = max(h.linkFreeAt, now) + float64(n)*1000/h.cluster.LinkRate
	return int64(h.linkFreeAt - now)
}

// outgoingOrder is an order on its way to a worker.
type outgoingOrder struct {
	worker string
	bytes  int
	// patience is how much longer than orderTimeout the answer is awaited.
	patience int64
}

// order sends an order to a worker, which executes it by do, and passes the answer to
// answered. During LateOrders an order may be executed late and not be answered. An answer
// after the timeout is lost.
func (h *coordinatorHost) order(o outgoingOrder, do func(*worker) placement.Reply, answered func(placement.Reply)) {
	w := h.cluster.worker(o.worker)
	instance := w.instance
	linkDelay := h.transmit(o.bytes)
	timeout := orderTimeout + o.patience
	late := linkDelay+h.cluster.NetworkDelay > timeout
	unanswered := func() {
		h.cluster.schedule(timeout-linkDelay, func() { answered(placement.Reply{Verdict: placement.Unanswered}) })
	}
	h.cluster.schedule(linkDelay+h.cluster.NetworkDelay/2, func() {
		if !w.reachable() {
			unanswered()
			return
		}
		if w.instance != instance {
			h.answer(w, unanswered, func() { answered(placement.Reply{Verdict: placement.OtherLifetime}) })
			return
		}
		if h.cluster.lateProbability > 0 && h.cluster.rand.Float64() < h.cluster.lateProbability {
			h.executeLate(w, func() { do(w) })
			unanswered()
			return
		}
		r := do(w)
		if late {
			unanswered()
			return
		}
		h.answer(w, unanswered, func() { answered(r) })
	})
}

// answer calls answered when a worker's answer arrives, or unanswered if it is lost.
func (h *coordinatorHost) answer(w *worker, unanswered, answered func()) {
	if !w.answers() {
		unanswered()
		return
	}
	h.cluster.schedule(h.cluster.NetworkDelay/2, answered)
}

// executeLate calls do 2 to 12 s from now, unless the process that received the call has
// ended or cannot be reached then.
func (h *coordinatorHost) executeLate(w *worker, do func()) {
	lifetime := w.lifetime
	h.cluster.schedule(2000+h.cluster.rand.Int64N(10_000), func() {
		if !w.reachable() || w.lifetime != lifetime {
			return
		}
		h.cluster.tracef("%s: a call of coordinator %d is executed late", w.id, h.term)
		h.cluster.executingLate = true
		do()
		h.cluster.executingLate = false
	})
}

func (h *coordinatorHost) start(e *coordinator.Start) {
	if h.cluster.now > e.ExpiresAt {
		h.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
			Worker: e.Target.ID, Address: e.Target.Address, Task: e.Order.Task, Run: e.Order.Run, Reply: placement.Reply{Verdict: placement.NotSent},
		}})
		return
	}
	o := outgoingOrder{worker: e.Target.ID, bytes: orderBytes + len(e.Order.Payload), patience: e.Order.Delay}
	h.order(o, func(w *worker) placement.Reply { return w.start(&e.Order) }, func(r placement.Reply) {
		h.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{Worker: e.Target.ID, Address: e.Target.Address, Task: e.Order.Task, Run: e.Order.Run, Reply: r}})
	})
}

func (h *coordinatorHost) stop(e *coordinator.Stop) {
	h.order(outgoingOrder{worker: e.Target.ID, bytes: orderBytes, patience: e.Order.Delay}, func(w *worker) placement.Reply { return w.stop(&e.Order) }, func(r placement.Reply) {
		h.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
			Worker: e.Target.ID, Address: e.Target.Address, Task: e.Order.Task, Run: e.Order.Run, IsStop: true, Reply: r,
		}})
	})
}

// poll sends a poll to a worker. A worker that has no ends to report answers when a run
// ends or the wait of the poll is over.
func (h *coordinatorHost) poll(e *coordinator.Poll) {
	sentAt := h.cluster.now
	w := h.cluster.worker(e.Target.ID)
	answered := func(r placement.PollReply) {
		h.apply(coordinator.Event{Polled: &coordinator.Polled{Worker: e.Target.ID, Address: e.Target.Address, Number: e.Number, SentAt: sentAt, Reply: r}})
	}
	if e.ExpiresAt != 0 && h.cluster.now > e.ExpiresAt {
		answered(placement.PollReply{Reply: placement.Reply{Verdict: placement.NotSent}})
		return
	}
	linkDelay := h.transmit(orderBytes)
	timeout := e.Order.Wait + e.Order.Delay + orderTimeout
	late := linkDelay+h.cluster.NetworkDelay > timeout-e.Order.Wait
	unanswered := func() {
		h.cluster.schedule(timeout-linkDelay, func() { answered(placement.PollReply{Reply: placement.Reply{Verdict: placement.Unanswered}}) })
	}
	h.cluster.schedule(linkDelay+h.cluster.NetworkDelay/2, func() {
		if !w.reachable() {
			unanswered()
			return
		}
		if h.cluster.latePollProbability > 0 && h.cluster.rand.Float64() < h.cluster.latePollProbability {
			h.executeLate(w, func() { w.poll(&e.Order) })
			unanswered()
			return
		}
		r := w.poll(&e.Order)
		if late {
			unanswered()
			return
		}
		if r.Verdict != placement.Executed || len(r.Ended) > 0 || e.Order.Wait == 0 {
			h.answer(w, unanswered, func() { answered(r) })
			return
		}
		lifetime, sent := w.lifetime, false
		reply := func() {
			if sent {
				return
			}
			sent = true
			h.cluster.schedule(h.cluster.NetworkDelay/2, func() {
				if w.lifetime != lifetime || !w.answers() {
					unanswered()
					return
				}
				answered(w.poll(&placement.Poll{Token: e.Order.Token, AckedEnd: e.Order.AckedEnd}))
			})
		}
		w.pendingPoll = reply
		h.cluster.schedule(e.Order.Wait, reply)
	})
}
