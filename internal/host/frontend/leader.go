package frontend

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
	"github.com/limpetrelay/limpetrelay/retry"
)

const (
	// roleWriter is the name under which coordinators write; their terms are its epochs.
	roleWriter = "coordinator"
	// roleStep is the time between two looks at who holds the role.
	roleStep = 50 * time.Millisecond
	// roleSilence is how long a coordinator may write nothing before it is replaced, in
	// milliseconds. It writes every half second, and an append to a slow store takes
	// some hundreds.
	roleSilence = 1100
	// roleFresh is the oldest proof of the book with which the role may be claimed, in
	// milliseconds.
	roleFresh = 1500
	// roleSpread spreads the hosts' claims, in milliseconds.
	roleSpread = 120
	// fitShare is the share of a core that coordinating hundreds of workers takes, and
	// smallHostDelay how much later a host without any would claim, in milliseconds. A
	// small host coordinates only when no other does.
	fitShare       = 0.4
	smallHostDelay = 3000
	// unfitFor is how long a host leaves the role to others after it has given it up, in
	// milliseconds.
	unfitFor = 5000
	// tickEvery is the time between two events that only move the time.
	tickEvery = 50 * time.Millisecond
	// eventBuffer is the number of events that may wait for the coordinator.
	eventBuffer = 4096
)

// takeRoles claims the coordinator's role whenever nobody holds it.
func (h *Host) takeRoles(ctx context.Context) {
	for ctx.Err() == nil {
		retry.Pause(ctx, roleStep)
		if at, prior, ok := h.mayClaim(); ok {
			if term, ok := h.claim(ctx, at); ok {
				h.lead(ctx, term, prior)
			}
		}
	}
}

// mayClaim reports whether the role is free, with the end of the book and the claim
// that is in force there.
func (h *Host) mayClaim() (at uint64, prior jobstate.Claim, ok bool) {
	if ok, _ := h.Ready(); !ok {
		return 0, prior, false
	}
	now := h.now()
	if now-h.jobsProof.Load() > roleFresh || now < h.unfitUntil {
		return 0, prior, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &h.book.Claim
	wait := h.claimDelay()
	switch {
	case c.Term == 0 || c.Resigned:
	case c.Host == h.Name():
		// This host's last process held the role, and it is gone.
	default:
		wait += roleSilence
	}
	return h.book.NextOffset, *c, now-h.claimSeen >= wait
}

// claimDelay returns how long this host waits before it claims a free role, so that
// the host that is best for it comes first.
func (h *Host) claimDelay() int64 {
	f := fnv.New32a()
	f.Write([]byte(h.Name()))
	spread := int64(f.Sum32() % roleSpread)
	missing := max(0, 1-h.CoreShare/fitShare)
	return spread + 3*h.roundTrip.Load() + int64(missing*smallHostDelay)
}

// claim writes a claim that only holds if nothing was written after the book's end.
func (h *Host) claim(ctx context.Context, at uint64) (uint64, bool) {
	r, err := jobstate.ClaimRecord(&jobstate.Claim{Host: h.Name(), Incarnation: h.Incarnation})
	if err != nil {
		h.Logger.Error("claim cannot be written", slog.String("error", err.Error()))
		return 0, false
	}
	a := keyedstore.Append{
		Topic: h.Topics.Jobs, Records: []jobstate.Record{r}, Conditional: true, At: at,
		Writer: roleWriter, Epoch: at + 1,
	}
	for try := 0; try < unknownTries && ctx.Err() == nil; try++ {
		err = h.appendOnce(ctx, a, try)
		if err == nil {
			return at + 1, h.holdsClaim(ctx, at+1)
		}
		if fault.NothingDone(err) {
			break
		}
	}
	h.Logger.Info("claim failed", slog.Uint64("at", at), slog.Any("error", err))
	return 0, false
}

// holdsClaim waits until the book has read the claim of a term and reports whether it
// is this host's. The store takes the claims of two hosts at the same end for repeats
// of one call and answers both alike; the record tells whose it was.
func (h *Host) holdsClaim(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, claimRead)
	defer cancel()
	for ctx.Err() == nil {
		h.mu.Lock()
		read, c := h.book.NextOffset >= term, h.book.Claim
		h.mu.Unlock()
		if read {
			return c.Term == term && c.Incarnation == h.Incarnation
		}
		retry.Pause(ctx, claimStep)
	}
	return false
}

const (
	// claimRead bounds the wait for the own claim to be read back.
	claimRead = 2 * time.Second
	// claimStep is the time between two looks for it.
	claimStep = 2 * time.Millisecond
)

// lead coordinates under a term until the role is lost or ctx ends. prior is the claim
// that was in force before.
func (h *Host) lead(ctx context.Context, term uint64, prior jobstate.Claim) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := h.bounds()
	l := &leader{
		Host: h, events: make(chan coordinator.Event, eventBuffer), term: term,
		jobs: stream{topic: h.Topics.Jobs, sequence: 1}, details: stream{topic: h.Topics.Details},
		batches: make(chan *coordinator.Record, 1),
		state: coordinator.State{
			Settings: coordinator.Settings{
				Lease: min(leaseTime, b.MaxLease), GangWait: b.GangWait, RemoteFactor: b.FarFactor, RestoreTime: b.Restore,
				Retention: b.Kept, Host: h.Name(), Incarnation: h.Incarnation,
			},
			Term: term,
		},
	}
	details, err := l.readDetails(ctx)
	if err != nil {
		h.Logger.Warn("role given back", slog.Uint64("term", term), slog.String("why", err.Error()))
		h.unfitUntil = h.now() + unfitFor
		l.handOver(ctx)
		return
	}
	h.leading.Store(true)
	defer h.leading.Store(false)
	h.Metrics.Gauge("term", float64(term))
	ends := make(chan struct{}, 2)
	h.mu.Lock()
	effects := l.state.Start(h.now(), h.Wall().UnixMilli(), &h.book, details, h.config.Load(),
		h.book.PredecessorsGone(&prior, h.Name()))
	h.prior = prior
	h.feed = func(e coordinator.Event) { l.post(ctx, e) }
	h.mu.Unlock()
	go func() {
		l.followWorkers(ctx)
		ends <- struct{}{}
	}()
	go func() {
		l.record(ctx)
		ends <- struct{}{}
	}()
	resigned := l.run(ctx, effects)
	h.mu.Lock()
	h.feed = nil
	h.mu.Unlock()
	cancel()
	<-ends
	<-ends
	if !resigned {
		h.unfitUntil = h.now() + unfitFor
	}
	l.handOver(context.WithoutCancel(ctx))
}

// leaseTime is how long a worker runs on without a renewal, in milliseconds. A
// take-over, from the last renewal to the first of the next coordinator, takes
// about three seconds; a lost worker's tasks start elsewhere only after this time.
const leaseTime = 6000

// leader drives a coordinator.
type leader struct {
	*Host
	state   coordinator.State
	events  chan coordinator.Event
	batches chan *coordinator.Record
	term    uint64
	// jobs and details are the partitions that the coordinator writes to.
	jobs, details stream
}

// stream is a partition that a coordinator writes to, with its next sequence number.
type stream struct {
	topic    string
	sequence uint64
}

// post hands an event to the coordinator.
func (l *leader) post(ctx context.Context, e coordinator.Event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// run applies events until the role is lost. It returns true when the host gives
// the role up by itself.
func (l *leader) run(ctx context.Context, effects []coordinator.Effect) bool {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		for i := range effects {
			if effects[i].Resign != "" {
				return false
			}
			l.carryOut(ctx, &effects[i])
		}
		if l.draining.Load() {
			return true
		}
		var e coordinator.Event
		select {
		case <-ctx.Done():
			return true
		case <-tick.C:
		case e = <-l.events:
		}
		e.Now, e.Wall = l.now(), l.Wall().UnixMilli()
		effects = l.state.Apply(&e)
	}
}

// carryOut starts what an effect asks for.
func (l *leader) carryOut(ctx context.Context, e *coordinator.Effect) {
	switch {
	case e.Log != nil:
		l.Logger.LogAttrs(ctx, slog.LevelInfo, e.Log.Message, e.Log.Attrs...)
	case e.Record != nil:
		l.batches <- e.Record
	case e.Start != nil:
		go l.start(ctx, e.Start)
	case e.Stop != nil:
		go l.stop(ctx, e.Stop)
	case e.Poll != nil:
		go l.hold(ctx, e.Poll)
	case e.QueryAdvice != nil:
		go l.advise(ctx, e.QueryAdvice)
	}
}

// Each of the goroutines below makes one call, which ctx ends, and reports its end
// as an event that run reads.

func (l *leader) start(ctx context.Context, e *coordinator.Start) {
	r := l.Start(ctx, e.Target, e.Order)
	l.Metrics.Count("orders", "start", string(r.Verdict), 1)
	l.post(ctx, coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{Worker: e.Target.ID, Task: e.Order.Task, Run: e.Order.Run, Reply: r}})
}

func (l *leader) stop(ctx context.Context, e *coordinator.Stop) {
	r := l.Stop(ctx, e.Target, e.Order)
	l.Metrics.Count("orders", "stop", string(r.Verdict), 1)
	l.post(ctx, coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
		Worker: e.Target.ID, Task: e.Order.Task, Run: e.Order.Run, IsStop: true, Reply: r,
	}})
}

func (l *leader) hold(ctx context.Context, e *coordinator.Poll) {
	asked := l.now()
	r := l.Poll(ctx, e.Target, e.Order)
	l.post(ctx, coordinator.Event{Polled: &coordinator.Polled{Worker: e.Target.ID, SentAt: asked, Reply: r}})
}

func (l *leader) advise(ctx context.Context, e *coordinator.QueryAdvice) {
	a := &coordinator.Advice{Step: e.Step}
	if l.QueryAdvice != nil {
		tickets, validity, err := l.QueryAdvice(ctx, e.Step, e.Workers)
		if err != nil {
			l.down.fail("advice", err)
		} else {
			l.down.ok("advice")
			a.Tickets, a.Validity = tickets, validity
		}
	}
	l.post(ctx, coordinator.Event{Advice: a})
}

// record writes the coordinator's batches, one after the other, until ctx ends. A
// batch that is not answered is repeated: the store gives a repeat its first answer.
func (l *leader) record(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-l.batches:
			sent, err := l.writeBatch(ctx, b)
			if err != nil {
				// Only a later coordinator, or the end of this one, stops a batch.
				l.post(ctx, coordinator.Event{Replaced: err.Error()})
				return
			}
			l.post(ctx, coordinator.Event{Recorded: &coordinator.Recorded{Batch: b.Batch, SentAt: sent}})
		}
	}
}

// writeBatch appends the details of a batch and then its records. It returns when the
// last successful append was sent.
func (l *leader) writeBatch(ctx context.Context, b *coordinator.Record) (int64, error) {
	sent, err := l.writeAll(ctx, &l.details, b.Details)
	if err != nil || len(b.Records) == 0 {
		return sent, err
	}
	return l.writeAll(ctx, &l.jobs, b.Records)
}

// writeAll appends records in as many calls as their size asks for.
func (l *leader) writeAll(ctx context.Context, to *stream, rs []jobstate.Record) (int64, error) {
	var sent int64
	for len(rs) > 0 {
		n, size := 0, 0
		for n < len(rs) && (n == 0 || size+recordSize(rs[n]) <= int(l.CallBytes)) {
			size += recordSize(rs[n])
			n++
		}
		var err error
		if sent, err = l.writeCall(ctx, to, rs[:n]); err != nil {
			return 0, err
		}
		rs = rs[n:]
	}
	return sent, nil
}

// recordSize returns the size of a record in a call.
func recordSize(r jobstate.Record) int { return 5 + len(r.Key) + len(r.Value) }

// writeCall repeats one append until it is done or the role is lost.
func (l *leader) writeCall(ctx context.Context, to *stream, rs []jobstate.Record) (int64, error) {
	a := keyedstore.Append{Topic: to.topic, Records: rs, Writer: roleWriter, Epoch: l.term, Sequence: to.sequence}
	for try := 0; ; try++ {
		sent := l.now()
		err := l.appendOnce(ctx, a, try)
		if err == nil {
			to.sequence++
			return sent, nil
		}
		k := fault.KindOf(err)
		if k == fault.Fenced || k == fault.Internal || ctx.Err() != nil {
			return 0, err
		}
		if fault.NothingDone(err) {
			retry.Pause(ctx, refusedPause<<min(try, 2))
		}
	}
}

// handOver tells the others that the role is free.
func (l *leader) handOver(ctx context.Context) {
	r, err := jobstate.ClaimRecord(&jobstate.Claim{Host: l.Name(), Incarnation: l.Incarnation, RenewedTerm: l.term, SoleLeader: l.state.SoleLeader(), Resigned: true})
	if err != nil {
		l.Logger.Error("resignation cannot be written", slog.String("error", err.Error()))
		return
	}
	// A batch may be on its way under this sequence number; then the append fails and
	// the others notice the silence.
	a := keyedstore.Append{
		Topic: l.jobs.topic, Records: []jobstate.Record{r}, Writer: roleWriter, Epoch: l.term, Sequence: l.jobs.sequence,
	}
	if err := l.appendOnce(ctx, a, 0); err != nil {
		l.Logger.Warn("role not handed over", slog.Uint64("term", l.term), slog.String("error", err.Error()))
		return
	}
	l.Logger.Info("role handed over", slog.Uint64("term", l.term))
}

const (
	// workersWait is how long a read of the directory waits for news.
	workersWait = time.Second
	// workersGap is the least time between two reads: each worker writes about every
	// second, and most of it is no news.
	workersGap = 200 * time.Millisecond
)

// followWorkers reads the directory until ctx ends.
func (l *leader) followWorkers(ctx context.Context) {
	known := make(map[string]bool)
	var listed map[string]bool
	f := &follower{
		Host: l.Host, topic: l.Topics.Workers, wait: workersWait, gap: func() time.Duration { return workersGap },
		reset: func() { listed = make(map[string]bool) },
		after: func() {
			for id := range known {
				if !listed[id] {
					delete(known, id)
					l.post(ctx, coordinator.Event{Unlisted: &coordinator.Unlisted{ID: id}})
				}
			}
		},
		take: func(e keyedstore.Entry) {
			if len(e.Value) == 0 {
				delete(known, e.Key)
				l.post(ctx, coordinator.Event{Unlisted: &coordinator.Unlisted{ID: e.Key}})
				return
			}
			w, err := l.DecodeWorker(e.Key, e.Value)
			if err != nil {
				l.Logger.Warn("entry names no worker", slog.String("worker", e.Key), slog.Uint64("offset", e.Offset),
					slog.String("error", err.Error()))
				return
			}
			known[w.ID] = true
			if listed != nil {
				listed[w.ID] = true
			}
			l.post(ctx, coordinator.Event{Listed: &w})
		},
		caughtUp: func(int64) {},
	}
	f.follow(ctx)
}
