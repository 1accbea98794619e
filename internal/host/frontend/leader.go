package frontend

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
	"github.com/limpetrelay/limpetrelay/retry"
)

const (
	// roleWriter is the writer name of all coordinators; their terms are its epochs.
	roleWriter = "coordinator"
	// roleCheckInterval is the time between two checks whether the role is free.
	roleCheckInterval = 50 * time.Millisecond
	// coordinatorTimeout is how long a coordinator may write no renewal before it is
	// replaced, in milliseconds. It writes one every 500 ms, and an append to a slow store
	// takes several hundred milliseconds.
	coordinatorTimeout = 1100
	// maxClaimTableAge is the maximum age of the job table's last freshness check at which
	// the role may be claimed, in milliseconds.
	maxClaimTableAge = 1500
	// claimSpread is the range over which the claims of the hosts are spread, in
	// milliseconds.
	claimSpread = 120
	// requiredCoreShare is the share of a core that coordinating hundreds of workers
	// takes. smallHostDelay is the additional claim delay of a host without any, in
	// milliseconds, and is scaled by the missing share, so that a small host becomes the
	// coordinator only if no other host does.
	requiredCoreShare = 0.4
	smallHostDelay    = 3000
	// requiredLinkRate is the rate of a link, in bytes a second, that leaves room beside coordinating a
	// thousand workers, which takes 1.7 MB/s. thinLinkDelay is the additional claim delay of a host without
	// any, in milliseconds, scaled by the missing part: a coordinator on a thin link holds back its orders.
	requiredLinkRate = 6_250_000
	thinLinkDelay    = 300
	// callsPerCore is the number of calls to workers and the store that a coordinator makes
	// with one second of a core, scheduling and log lines included.
	callsPerCore = 3700
	// ineligiblePeriod is how long a host does not claim the role after it lost it or
	// failed to read the details, in milliseconds.
	ineligiblePeriod = 5000
	// tickInterval is the time between two events that only advance the time.
	tickInterval = 50 * time.Millisecond
	// eventBuffer is the number of events that may wait for the coordinator.
	eventBuffer = 4096
)

// acquireRole claims the coordinator's role whenever it is free, and coordinates while
// the host holds it, until ctx ends.
func (h *Host) acquireRole(ctx context.Context) {
	for ctx.Err() == nil {
		retry.Pause(ctx, roleCheckInterval)
		h.noteExit()
		if at, prior, ok := h.mayClaim(); ok {
			claimedAt := h.now()
			if term, ok := h.claim(ctx, at, &prior.Claim); ok {
				h.lead(ctx, term, claimedAt, prior)
			}
		}
	}
}

// priorClaim is the claim that was in force before a takeover, and when it was read.
type priorClaim struct {
	jobstate.Claim
	seenAt int64
}

// mayClaim reports whether this host may claim the role now. It also returns the offset
// at which the job table ends and the claim in force there.
func (h *Host) mayClaim() (at uint64, prior priorClaim, ok bool) {
	if ok, _ := h.Ready(); !ok {
		return 0, prior, false
	}
	now := h.now()
	if now-h.jobsVerifiedAt.Load() > maxClaimTableAge || now < h.ineligibleUntil {
		return 0, prior, false
	}
	settings := h.currentSettings()
	if bound := maxOperatorAge(&settings); bound > 0 && now-h.configVerifiedAt.Load() > bound {
		return 0, prior, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &h.table.Claim
	wait := h.claimDelay()
	switch {
	case c.Term == 0 || c.Resigned:
	case c.Host == h.Name():
		// The previous process of this host held the role, and it has ended.
	default:
		wait += coordinatorTimeout
	}
	return h.table.NextOffset, priorClaim{Claim: *c, seenAt: h.claimSeenAt}, now-h.claimSeenAt >= wait
}

// claimDelay returns how long this host waits before it claims a free role, in
// milliseconds. The host that is best suited, by core share, link and round trip to the
// store, waits least.
func (h *Host) claimDelay() int64 {
	f := fnv.New32a()
	f.Write([]byte(h.Name()))
	spread := int64(f.Sum32() % claimSpread)
	missing := max(0, 1-h.CoreShare/requiredCoreShare)
	thin := 0.0
	if h.LinkRate > 0 {
		thin = max(0, 1-h.LinkRate/requiredLinkRate)
	}
	return spread + 3*h.roundTrip.Load() + int64(missing*smallHostDelay) + int64(thin*thinLinkDelay)
}

// claim writes a claim on the condition that the jobs partition still ends at offset
// at, and makes at+1 its term. It returns the term and whether this host holds it. prior
// is the claim in force at that offset.
func (h *Host) claim(ctx context.Context, at uint64, prior *jobstate.Claim) (uint64, bool) {
	h.mu.Lock()
	active, known := h.table.ActiveHolders(prior, h.Name())
	leases := coordinator.PassOn(prior.Leases, h.now()-h.claimSeenAt)
	h.mu.Unlock()
	r, err := jobstate.ClaimRecord(&jobstate.Claim{
		Host: h.Name(), Incarnation: h.Incarnation, SoleLeader: known && len(active) == 0, Predecessors: active, Leases: leases,
		BoundedLeases: prior.LeasesBounded() || known && len(active) == 0, LongLeases: prior.LongLeases,
	})
	if err != nil {
		h.Logger.Error("claim cannot be written", slog.String("error", err.Error()))
		return 0, false
	}
	a := keyedstore.AppendRequest{
		Topic: h.Topics.Jobs, Records: []jobstate.Record{r}, Conditional: true, ExpectedEnd: at,
		Writer: roleWriter, Epoch: at + 1,
	}
	for attempt := 0; attempt < maxClaimAttempts && ctx.Err() == nil; attempt++ {
		err = h.appendOnce(ctx, a, attempt)
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

// holdsClaim waits until the claim of a term is in the job table and reports whether it
// is this host's. The store treats the claims of two hosts at the same offset as repeats
// of one append, since writer, epoch and sequence are equal, and confirms both; only the
// record shows which one was written.
func (h *Host) holdsClaim(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, claimReadTimeout)
	defer cancel()
	for ctx.Err() == nil {
		h.mu.Lock()
		read, c := h.table.NextOffset >= term, h.table.Claim
		h.mu.Unlock()
		if read {
			return c.Term == term && c.Incarnation == h.Incarnation
		}
		retry.Pause(ctx, claimCheckInterval)
	}
	return false
}

const (
	// claimReadTimeout bounds the wait until the host has read its own claim back.
	claimReadTimeout = 2 * time.Second
	// claimCheckInterval is the time between two checks of the job table in this wait.
	claimCheckInterval = 2 * time.Millisecond
)

// lead runs the coordinator for a term until the role is lost, the host drains or ctx
// ends, and then resigns. It resigns at once if the details cannot be read. claimedAt is
// when the claim was sent, and prior is the claim that was in force before.
func (h *Host) lead(ctx context.Context, term uint64, claimedAt int64, prior priorClaim) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settings := h.currentSettings()
	l := &leader{
		Host: h, events: make(chan postedEvent, eventBuffer), term: term,
		jobs: partition{topic: h.Topics.Jobs, sequence: 1}, details: partition{topic: h.Topics.Details},
		batches: make(chan *coordinator.Record, 1), recorded: make(chan postedEvent, 1), evacuated: make(chan postedEvent, 1),
		state: coordinator.State{
			Settings: coordinator.Settings{
				Lease: min(workerLease, settings.MaxLease), MaxLease: settings.MaxLease, GangWait: settings.GangWait, RemoteFactor: settings.RemoteFactor, RestoreTime: settings.RestoreTime,
				Retention: settings.Retention, LinkRate: settings.LinkRate, CallRate: settings.CoreShare * callsPerCore, MaxRecordBytes: int(settings.MaxRecordBytes),
				MaxOperatorAge: maxOperatorAge(&settings),
				Host:           h.Name(), Incarnation: h.Incarnation,
			},
			Term: term, ClaimedAt: claimedAt,
		},
	}
	details, err := l.readDetails(ctx)
	h.mu.Lock()
	active, known := h.table.ActiveHolders(&prior.Claim, h.Name())
	h.mu.Unlock()
	l.state.Predecessors, l.state.UnboundedLeases = active, !prior.LeasesBounded()
	l.state.PriorLeases, l.state.PriorLongLeases = coordinator.PriorLeases(&prior.Claim, l.state.RecordedLeases, claimedAt-prior.seenAt, settings.MaxLease)
	if err != nil {
		h.Logger.Warn("role given back", slog.Uint64("term", term), slog.String("why", err.Error()))
		h.ineligibleUntil = h.now() + ineligiblePeriod
		c := l.state.Resignation()
		c.SoleLeader, c.Leases = known && len(active) == 0, coordinator.PassOn(prior.Leases, h.now()-prior.seenAt)
		c.LongLeases = prior.LongLeases
		l.resign(ctx, c)
		return
	}
	h.leading.Store(true)
	defer h.leading.Store(false)
	h.Metrics.SetGauge("term", float64(term))
	ends := make(chan struct{}, 2)
	effects := l.begin(ctx, details, &prior.Claim)
	go func() {
		l.followWorkers(ctx)
		ends <- struct{}{}
	}()
	go func() {
		l.writeBatches(ctx)
		ends <- struct{}{}
	}()
	voluntary := l.run(ctx, effects)
	h.mu.Lock()
	h.postEvent = nil
	h.mu.Unlock()
	cancel()
	<-ends
	<-ends
	l.clearGauges()
	if !voluntary {
		h.ineligibleUntil = h.now() + ineligiblePeriod
	}
	l.resign(context.WithoutCancel(ctx), l.state.Resignation())
}

// begin starts the coordinator with the host's copies of the records, and has all later changes of them
// posted to it. prior is the claim that was in force before.
func (l *leader) begin(ctx context.Context, details jobstate.Details, prior *jobstate.Claim) []coordinator.Effect {
	h := l.Host
	h.mu.Lock()
	defer h.mu.Unlock()
	l.state.Evacuated = h.evacuations.names()
	effects := l.state.Start(h.now(), h.Wall().UnixMilli(), &h.table, details, h.config.Load(), h.table.PredecessorsGone(prior, h.Name()))
	h.priorClaim = *prior
	h.postEvent = func(e coordinator.Event) {
		if e.Evacuated != nil {
			l.passEvacuated(e)
			return
		}
		l.post(ctx, e)
	}
	return effects
}

// workerLease is how long a worker continues without a lease renewal, in milliseconds.
// A takeover, from the last renewal by one coordinator to the first by the next, takes
// about three seconds. The tasks of a lost worker start elsewhere only after the lease
// has expired.
const workerLease = 6000

// leader runs a coordinator's state machine for one term: it feeds events to it and
// executes the resulting effects.
type leader struct {
	*Host
	state   coordinator.State
	events  chan postedEvent
	batches chan *coordinator.Record
	// recorded holds the event that a batch was written. It does not wait behind other events,
	// since the next renewal of the claim is sent after it.
	recorded chan postedEvent
	// evacuated holds the newest set of evacuations that was not handled yet. It is handled before
	// all other events: OperatorAge must not count a change that still waits.
	evacuated chan postedEvent
	term      uint64
	// jobs and details are the partitions to which the coordinator writes.
	jobs, details partition
	// slowEventAt is when a slow event was last logged; 0 for never.
	slowEventAt int64
	// gaugesAt is when the gauges of the coordinator were last updated; 0 for never.
	gaugesAt int64
}

// postedEvent is an event that waits for the coordinator since at.
type postedEvent struct {
	coordinator.Event
	at int64
}

// partition is a partition to which a coordinator writes, with the sequence number of
// its next append.
type partition struct {
	topic    string
	sequence uint64
}

// post passes an event to the coordinator. It drops the event once ctx has ended.
func (l *leader) post(ctx context.Context, e coordinator.Event) {
	select {
	case l.events <- postedEvent{Event: e, at: l.now()}:
	case <-ctx.Done():
	}
}

// run applies events until the role is lost, the host drains or ctx ends. It returns
// false if the coordinator's state machine requires the resignation.
func (l *leader) run(ctx context.Context, effects []coordinator.Effect) bool {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	// took is how long the last event took to be applied, and its effects to be executed.
	took := int64(0)
	waited := int64(0)
	for {
		began := l.now()
		for i := range effects {
			if effects[i].Resign != "" {
				return false
			}
			l.execute(ctx, &effects[i])
		}
		if l.draining.Load() {
			return true
		}
		took += l.now() - began
		// Read before the next event is chosen: what was read by then has been passed on and is handled
		// first.
		operatorsReadAt := l.configVerifiedAt.Load()
		e, queued, ok := l.nextEvent(ctx, tick.C)
		if !ok {
			return true
		}
		e.Now, e.Wall = l.now(), l.Wall().UnixMilli()
		if queued || len(l.events) == 0 {
			waited = e.Now - e.at
		}
		e.Waited, e.Took, e.OperatorAge = waited, took, e.Now-operatorsReadAt
		effects = l.state.Apply(&e.Event)
		took = l.now() - e.Now
		l.observeEvent(e.Waited, took)
		l.updateGauges()
	}
}

// nextEvent returns the next event, a change of evacuations and then that of a written batch before
// any other, and whether it has waited for its turn. ok is false once ctx has ended.
func (l *leader) nextEvent(ctx context.Context, tick <-chan time.Time) (e postedEvent, queued, ok bool) {
	select {
	case e = <-l.evacuated:
		return e, false, true
	default:
	}
	select {
	case e = <-l.recorded:
		return e, false, true
	default:
	}
	select {
	case <-ctx.Done():
		return e, false, false
	case e = <-l.evacuated:
		return e, false, true
	case e = <-l.recorded:
		return e, false, true
	case <-tick:
		return postedEvent{at: l.now()}, false, true
	case e = <-l.events:
		return e, true, true
	}
}

// observeEvent counts how long an event waited and how long its handling took, in milliseconds,
// and logs it at most once in slowEventLogInterval if either was long.
func (l *leader) observeEvent(waited, took int64) {
	l.Metrics.Observe("eventWait", "", "", waited)
	l.Metrics.Observe("eventTime", "", "", took)
	now := l.now()
	if max(waited, took) < slowEvent || l.slowEventAt != 0 && now < l.slowEventAt+slowEventLogInterval {
		return
	}
	l.slowEventAt = now
	l.Logger.Warn("coordinator is slow", slog.Uint64("term", l.term), slog.Int64("waitedMs", waited), slog.Int64("tookMs", took),
		slog.Int("waiting", len(l.events)), slog.Int("stopping", l.state.Stopping()))
}

const (
	// slowEvent is the wait of an event or the time of its handling from which on it is logged, in
	// milliseconds. The claim is renewed by events, and lost after coordinatorTimeout.
	slowEvent = 200
	// slowEventLogInterval is the least time between two such lines, in milliseconds.
	slowEventLogInterval = 1000
)

// execute starts an effect. Orders and queries run in goroutines of their own.
func (l *leader) execute(ctx context.Context, e *coordinator.Effect) {
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
		go l.poll(ctx, e.Poll)
	case e.QueryAdvice != nil:
		go l.queryAdvice(ctx, e.QueryAdvice)
	}
}

// Each of the following methods runs in its own goroutine, makes one call that is
// cancelled with ctx, and posts the result as an event.

// validUntil returns a function that reports whether t has not passed. The process may be
// paused between the decision to send an order and its sending.
func (l *leader) validUntil(t int64) func() bool { return func() bool { return l.now() <= t } }

func (l *leader) start(ctx context.Context, e *coordinator.Start) {
	e.Order.Valid = l.validUntil(e.ExpiresAt)
	r := l.Start(ctx, e.Target, e.Order)
	l.Metrics.Count("orders", "start", string(r.Verdict), 1)
	l.post(ctx, coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{Worker: e.Target.ID, Address: e.Target.Address, Task: e.Order.Task, Run: e.Order.Run, Reply: r}})
}

func (l *leader) stop(ctx context.Context, e *coordinator.Stop) {
	r := l.Stop(ctx, e.Target, e.Order)
	l.Metrics.Count("orders", "stop", string(r.Verdict), 1)
	l.post(ctx, coordinator.Event{OrderAnswered: &coordinator.OrderAnswered{
		Worker: e.Target.ID, Address: e.Target.Address, Task: e.Order.Task, Run: e.Order.Run, IsStop: true, Reply: r,
	}})
}

func (l *leader) poll(ctx context.Context, e *coordinator.Poll) {
	if e.ExpiresAt != 0 {
		e.Order.Valid = l.validUntil(e.ExpiresAt)
	}
	sent := l.now()
	r := l.Poll(ctx, e.Target, e.Order)
	if r.Verdict == placement.Executed && !l.plausibleLifetime(r.Lifetime) {
		r = placement.PollReply{Reply: placement.Reply{
			Verdict: placement.Unanswered, Reason: fmt.Sprintf("the answer names the lifetime %d, which lies in the future", r.Lifetime),
		}}
	}
	l.post(ctx, coordinator.Event{Polled: &coordinator.Polled{Worker: e.Target.ID, Address: e.Target.Address, Number: e.Number, SentAt: sent, Reply: r}})
}

func (l *leader) queryAdvice(ctx context.Context, e *coordinator.QueryAdvice) {
	a := &coordinator.Advice{Step: e.Step}
	if l.QueryAdvice != nil {
		tickets, validity, err := l.QueryAdvice(ctx, e.Step, e.Workers)
		if err != nil {
			l.monitor.reportFailure("advice", err)
		} else {
			l.monitor.reportSuccess("advice")
			a.Tickets, a.Validity = tickets, validity
		}
	}
	l.post(ctx, coordinator.Event{Advice: a})
}

// writeBatches writes the coordinator's batches, one at a time, until ctx ends or a
// write fails for good. An append that is not answered is repeated: for a repeat, the
// store returns the result of the first append.
func (l *leader) writeBatches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-l.batches:
			sent, refused, err := l.writeBatch(ctx, b)
			if err != nil {
				// A batch fails only if a later coordinator has taken over, the store rejects
				// the sequence number, or ctx has ended.
				l.post(ctx, coordinator.Event{Replaced: err.Error()})
				return
			}
			select {
			case l.recorded <- postedEvent{Event: coordinator.Event{Recorded: &coordinator.Recorded{Batch: b.Batch, SentAt: sent, Refused: refused}}, at: l.now()}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// writeBatch appends the details of a batch and then its records. It returns the time
// at which the last append of its records was sent, 0 if it has none, and the keys of the records
// that the store does not accept.
func (l *leader) writeBatch(ctx context.Context, b *coordinator.Record) (sent int64, refused []string, err error) {
	if _, refused, err = l.writeRecords(ctx, &l.details, b.Details); err != nil {
		return 0, nil, err
	}
	sent, more, err := l.writeRecords(ctx, &l.jobs, b.Records)
	return sent, append(refused, more...), err
}

// writeRecords appends records in calls of at most MaxAppendBytes bytes, except that a
// larger record is sent alone. It returns the time at which the last call was sent.
func (l *leader) writeRecords(ctx context.Context, to *partition, rs []jobstate.Record) (sent int64, refused []string, err error) {
	for len(rs) > 0 {
		n, size := 0, 0
		for n < len(rs) && (n == 0 || size+recordSize(&rs[n]) <= int(l.MaxAppendBytes)) {
			size += recordSize(&rs[n])
			n++
		}
		var keys []string
		if sent, keys, err = l.writeAccepted(ctx, to, rs[:n]); err != nil {
			return 0, nil, err
		}
		rs, refused = rs[n:], append(refused, keys...)
	}
	return sent, refused, nil
}

// writeAccepted appends records in order, without those that the store does not accept for what
// they are: repeating them would keep all others from being written. A claim is among them
// only if the role cannot be held.
func (l *leader) writeAccepted(ctx context.Context, to *partition, rs []jobstate.Record) (sent int64, refused []string, err error) {
	sent, err = l.appendUntilDone(ctx, to, rs)
	if !contentRefused(err) {
		return sent, nil, err
	}
	if len(rs) == 1 {
		l.Logger.Error("record refused by the store", slog.String("key", rs[0].Key), slog.Int("bytes", rs[0].Size()), errorAttr(err))
		if rs[0].JobID() == "" {
			return 0, nil, err
		}
		return 0, []string{rs[0].Key}, nil
	}
	half := len(rs) / 2
	if _, refused, err = l.writeAccepted(ctx, to, rs[:half]); err != nil {
		return 0, nil, err
	}
	sent, more, err := l.writeAccepted(ctx, to, rs[half:])
	return sent, append(refused, more...), err
}

// contentRefused reports whether the store does not accept the records of an append for what they
// are, so that a repeat is refused too.
func contentRefused(err error) bool {
	k := fault.KindOf(err)
	return k == fault.TooLarge || k == fault.Invalid
}

// recordSize returns the encoded size of a record in a call, in bytes.
func recordSize(r *jobstate.Record) int { return 4 + r.Size() }

// appendUntilDone repeats one append until it succeeds, the role is lost or ctx ends. It
// returns the time at which the append was sent first, except for calls that certainly did
// nothing: the answer to a repeat only shows that one of the calls was executed.
func (l *leader) appendUntilDone(ctx context.Context, to *partition, rs []jobstate.Record) (int64, error) {
	a := keyedstore.AppendRequest{Topic: to.topic, Records: rs, Writer: roleWriter, Epoch: l.term, Sequence: to.sequence}
	sent, mayBeDone := l.now(), false
	for attempt := 0; ; attempt++ {
		err := l.appendOnce(ctx, a, attempt)
		if err == nil {
			to.sequence++
			return sent, nil
		}
		k := fault.KindOf(err)
		if k == fault.Fenced || k == fault.Internal || contentRefused(err) || ctx.Err() != nil {
			return 0, err
		}
		if fault.NothingDone(err) {
			retry.Pause(ctx, refusalPause<<min(attempt, 2))
		} else {
			mayBeDone = true
		}
		if !mayBeDone {
			sent = l.now()
		}
	}
}

// resign records that the role held under a claim is free, so that another host can claim
// it at once.
func (l *leader) resign(ctx context.Context, c *jobstate.Claim) {
	r, err := jobstate.ClaimRecord(c)
	if err != nil {
		l.Logger.Error("resignation cannot be written", slog.String("error", err.Error()))
		return
	}
	// If a batch with this sequence number is still in flight, the append may fail. The
	// other hosts then claim the role after coordinatorTimeout.
	a := keyedstore.AppendRequest{
		Topic: l.jobs.topic, Records: []jobstate.Record{r}, Writer: roleWriter, Epoch: l.term, Sequence: l.jobs.sequence,
	}
	if err := l.appendOnce(ctx, a, 0); err != nil {
		l.Logger.Warn("role not handed over", slog.Uint64("term", l.term), slog.String("error", err.Error()))
		return
	}
	l.Logger.Info("role handed over", slog.Uint64("term", l.term))
}
