package simulation

import (
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

const (
	// tickEvery is the time between two ticks, in milliseconds.
	tickEvery = 50
	// takeOverTime is the time between a coordinator's end and the next one's claim, in
	// milliseconds.
	takeOverTime = 1500
	// orderTimeout is when an order counts as unanswered, in milliseconds.
	orderTimeout = 500
)

// coordinatorHost drives a reducer.
type coordinatorHost struct {
	w     *Cluster
	state coordinator.State
	term  uint64
	// dead coordinators neither act nor hear.
	dead bool
}

// takeOver lets a new coordinator claim the role.
func (w *Cluster) takeOver(first bool) {
	if w.storeDown {
		w.after(tickEvery, func() { w.takeOver(first) })
		return
	}
	c := &coordinatorHost{w: w, term: w.table.NextOffset + 1}
	r, err := jobstate.ClaimRecord(&jobstate.Claim{Host: "host", Incarnation: "host-1"})
	if err != nil {
		w.violationf("a claim cannot be written: %v", err)
		return
	}
	prior := w.table.Claim
	// What the real hosts learn from the next process of the dead one's host.
	gone := prior.Term == 0 || prior.SoleLeader && w.lead != nil && w.lead.dead
	w.epoch = c.term
	w.write(r)
	w.lead = c
	c.state = coordinator.State{Settings: w.Coordinator, Term: c.term}
	c.carryOut(c.state.Start(w.now, w.now, &w.table, w.details, w.Configuration, gone))
	for _, k := range w.workers {
		if k.listed {
			w.list(k)
		}
	}
	c.tick()
}

func (c *coordinatorHost) tick() {
	if c.dead {
		return
	}
	c.apply(coordinator.Event{})
	c.w.after(tickEvery, c.tick)
}

func (c *coordinatorHost) apply(e coordinator.Event) {
	if c.dead {
		return
	}
	e.Now, e.Wall = c.w.now, c.w.now
	c.carryOut(c.state.Apply(&e))
}

func (c *coordinatorHost) carryOut(es []coordinator.Effect) {
	for i := range es {
		e := &es[i]
		switch {
		case e.Log != nil:
			c.w.LogLines[e.Log.Message]++
		case e.Record != nil:
			c.record(e.Record)
		case e.Start != nil:
			c.start(e.Start)
		case e.Stop != nil:
			c.stop(e.Stop)
		case e.Poll != nil:
			c.hold(e.Poll)
		case e.Resign != "":
			c.dead = true
			if c.w.lead == c {
				c.w.after(takeOverTime, func() { c.w.takeOver(false) })
			}
		}
	}
}

// record writes a batch, or tries again while the store is down.
func (c *coordinatorHost) record(b *coordinator.Record) {
	sent := c.w.now
	c.w.after(c.w.NetworkDelay, func() {
		switch {
		case c.w.epoch > c.term:
			c.apply(coordinator.Event{Replaced: "fenced"})
		case c.w.storeDown:
			c.w.after(2*tickEvery, func() { c.record(b) })
		default:
			for _, r := range b.Details {
				c.w.writeDetail(r)
			}
			for _, r := range b.Records {
				c.w.write(r)
			}
			c.w.after(c.w.NetworkDelay, func() { c.apply(coordinator.Event{Recorded: &coordinator.Recorded{Batch: b.Batch, SentAt: sent}}) })
		}
	})
}

func (w *Cluster) worker(id string) *worker {
	for _, k := range w.workers {
		if k.id == id {
			return k
		}
	}
	return nil
}

// order brings an order to a worker and its answer back. Orders may be carried out
// late and not be answered.
func (c *coordinatorHost) order(id string, do func(*worker) placement.Reply, answered func(placement.Reply)) {
	k := c.w.worker(id)
	born := k.born
	unanswered := func() { c.w.after(orderTimeout, func() { answered(placement.Reply{Verdict: placement.Unanswered}) }) }
	c.w.after(c.w.NetworkDelay/2, func() {
		if !k.reach() {
			unanswered()
			return
		}
		if k.born != born {
			c.w.after(c.w.NetworkDelay/2, func() { answered(placement.Reply{Verdict: placement.OtherLifetime}) })
			return
		}
		if c.w.late > 0 && c.w.rand.Float64() < c.w.late {
			c.w.after(2000+c.w.rand.Int64N(10_000), func() {
				if k.reach() && k.born == born {
					do(k)
				}
			})
			unanswered()
			return
		}
		r := do(k)
		c.w.after(c.w.NetworkDelay/2, func() { answered(r) })
	})
}

func (c *coordinatorHost) start(e *coordinator.Start) {
	c.order(e.Target.ID, func(k *worker) placement.Reply { return k.start(&e.Order) }, func(r placement.Reply) {
		c.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{Worker: e.Target.ID, Task: e.Order.Task, Run: e.Order.Run, Reply: r}})
	})
}

func (c *coordinatorHost) stop(e *coordinator.Stop) {
	c.order(e.Target.ID, func(k *worker) placement.Reply { return k.stop(&e.Order) }, func(r placement.Reply) {
		c.apply(coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
			Worker: e.Target.ID, Task: e.Order.Task, Run: e.Order.Run, IsStop: true, Reply: r,
		}})
	})
}

func (c *coordinatorHost) hold(e *coordinator.Poll) {
	asked := c.w.now
	k := c.w.worker(e.Target.ID)
	answered := func(h placement.PollReply) {
		c.apply(coordinator.Event{Polled: &coordinator.Polled{Worker: e.Target.ID, SentAt: asked, Reply: h}})
	}
	unanswered := func() {
		c.w.after(e.Order.Wait+orderTimeout, func() { answered(placement.PollReply{Reply: placement.Reply{Verdict: placement.Unanswered}}) })
	}
	c.w.after(c.w.NetworkDelay/2, func() {
		if !k.reach() {
			unanswered()
			return
		}
		if h := k.hold(&e.Order); h.Verdict != placement.Executed || len(h.Ended) > 0 || e.Order.Wait == 0 {
			c.w.after(c.w.NetworkDelay/2, func() { answered(h) })
			return
		}
		born, sent := k.born, false
		reply := func() {
			if sent {
				return
			}
			sent = true
			c.w.after(c.w.NetworkDelay/2, func() {
				if !k.reach() || k.born != born {
					unanswered()
					return
				}
				answered(k.hold(&placement.Poll{Token: e.Order.Token, AckedEnd: e.Order.AckedEnd}))
			})
		}
		k.waiting = reply
		c.w.after(e.Order.Wait, reply)
	})
}
