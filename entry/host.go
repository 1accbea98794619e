package entry

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/measure"
	"github.com/limpetrelay/limpetrelay/peer"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// tickInterval is the time between two events that only advance the state
	// machine's time.
	tickInterval = 50 * time.Millisecond
	// listInterval is the time between two reads of the list of hosts.
	listInterval = time.Second
	// logReadWait is how long a read of the log waits for new records.
	logReadWait = time.Second
	// tailRetryPause is the pause after a failed read of the log.
	tailRetryPause = 200 * time.Millisecond
	// eventQueueSize bounds the events that are queued for the state machine.
	eventQueueSize = 1024
	// payloadMemoryShare is the part of the host's memory, as a divisor, that the payloads
	// of open jobs may take. Encoding a snapshot takes up to twice as much again.
	payloadMemoryShare = 16
	// jobMemoryShare is the part of the host's memory, as a divisor, that the jobs may take
	// beside their payloads, and jobBytes the memory of one, with its key and what the
	// collector needs: 100,000 ended jobs took 1,125 bytes each.
	jobMemoryShare = 8
	jobBytes       = 2 << 10
	// minPayloadBytes is the least memory for payloads, in bytes: 128 of the largest size for
	// one organisation.
	minPayloadBytes = 16 << 20
)

// Dependencies are the services that a Host calls, and its clock. All but Clock
// are required.
type Dependencies struct {
	Log       logservice.Log
	Directory logservice.Directory
	// Worker returns the client of the worker at an address.
	Worker func(address string) upstream.Worker
	// Peer returns the client of the entry host at an address.
	Peer func(address string) peer.Peer
	// Clock returns the wall clock, which may be wrong. Default time.Now.
	Clock func() time.Time
}

// Settings configures a Host. Zero fields have defaults.
type Settings struct {
	dispatch.Settings
	// SnapshotRecords is the number of log entries after which a snapshot is
	// written. Default 500.
	SnapshotRecords uint64
	// SnapshotEvery is the time after which a snapshot is written even if fewer
	// than SnapshotRecords entries were added. It must be well below the log's
	// retention. Default 5 minutes.
	SnapshotEvery time.Duration
	// Memory is the memory of the process, in bytes. It bounds what clients take.
	// Default DefaultMemory.
	Memory int64
	// MaxDescriptors is the largest number of open descriptors of the process. It
	// bounds the connections of clients. Default the soft limit of the operating
	// system.
	MaxDescriptors int64
	// ClientLimits bounds what one client may do. Zero fields have the defaults of
	// httpserver.Limits.
	ClientLimits httpserver.Limits
	// Logger receives the log lines. Default slog.Default().
	Logger *slog.Logger
}

// Host is one entry host. Its exported fields must be set before its first method
// call.
type Host struct {
	Settings
	Dependencies
	// Metrics holds the host's metrics. Other parts of the process may record theirs
	// in it too.
	Metrics measure.Metrics

	once      sync.Once
	events    chan event
	view      atomic.Pointer[View]
	tail      tailBuffer
	hosts     hostList
	snapshots snapshotState
	// restoreReason says why the host must restore a snapshot; nil when it need not.
	restoreReason atomic.Pointer[string]
	group         group
	// fetchMu is held while a snapshot for Fetch is encoded.
	fetchMu sync.Mutex
	fetched atomic.Pointer[fetchedSnapshot]
	// reportMu is held while a report is encoded.
	reportMu sync.Mutex

	mu          sync.Mutex
	waiters     map[string]*waiter
	waiterCount uint64
	// loopDone is closed once Run applies no more events, and runDone once every
	// waiter has a reply.
	loopDone, runDone chan struct{}
}

// waiter is a caller that waits for a reply.
type waiter struct {
	reply chan dispatch.Reply
	// applied is set once the loop passes the caller's event to the state machine.
	applied bool
}

// event is an event for the state machine in the host's queue.
type event struct {
	dispatch.Event
	// applied, when set, is closed once the event was applied and its effects were
	// started.
	applied chan struct{}
	// inspect, when set, is called with the state machine before the event is
	// applied.
	inspect func(*dispatch.State)
}

// View is a copy of parts of the state machine's state for other goroutines. GET
// /readyz and GET /v1/status encode it in JSON under the names of the fields,
// which therefore must not change.
type View struct {
	Ready bool
	// Stuck says why the host cannot become ready; empty otherwise.
	Stuck    string
	Draining bool
	// Placer is whether this host is the placer of its data centre.
	Placer bool
	// PlacerName is the host that holds the placer role in the log.
	PlacerName    string
	PlacerAddress string
	Term          uint64
	// Next is the offset of the next log entry to apply.
	Next uint64
	// Version is the version of the configuration in force.
	Version uint64
	// LogDown is whether the last call to the log failed.
	LogDown bool
	// LogAge is the time since the log last answered, in milliseconds.
	LogAge int64
	// Checked and Broken are the numbers of invariants that were checked and that
	// were found broken.
	Checked, Broken int
	// Queued and Placed are the numbers of queued and of placed jobs.
	Queued, Placed int
	// TailHold is how long the placer may delay its answer to this host's poll;
	// TailGiveUp is the time after which this host abandons the poll.
	TailHold, TailGiveUp time.Duration
}

// Run follows the log and the list of hosts and applies events until ctx ends or
// a drain has finished. Then it replies with an error to all waiters. It must be
// called at most once.
func (h *Host) Run(ctx context.Context) error {
	h.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.group.start(ctx, "tail", h.tailLoop)
	h.group.start(ctx, "list", h.hostListLoop)
	h.loop(ctx)
	close(h.loopDone)
	cancel()
	h.group.wait()
	h.failWaiters()
	close(h.runDone)
	return nil
}

// View returns the view after the last event that was applied.
func (h *Host) View() View {
	h.init()
	return *h.view.Load()
}

// Drain starts the shutdown of the host and does not wait for it. Run returns once
// the drain has finished.
func (h *Host) Drain(ctx context.Context) {
	h.init()
	h.post(ctx, dispatch.Event{Drain: &dispatch.Drain{}})
}

// Call posts the event that newEvent returns for a new waiter ID and waits for
// the Reply to that waiter. When ctx ends first, Call abandons the request and
// returns an error of kind Unknown.
func (h *Host) Call(ctx context.Context, newEvent func(waiter string) dispatch.Event) (dispatch.Reply, error) {
	h.init()
	id, w := h.newWaiter()
	defer h.removeWaiter(id)
	if !h.post(ctx, newEvent(id)) {
		return dispatch.Reply{}, notAppliedError()
	}
	var r dispatch.Reply
	select {
	case r = <-w.reply:
	case <-h.runDone:
		// Every waiter of an applied event has its reply by now, so an event without
		// a reply was never applied.
		select {
		case r = <-w.reply:
		default:
			return dispatch.Reply{}, notAppliedError()
		}
	case <-ctx.Done():
		h.post(context.WithoutCancel(ctx), dispatch.Event{Disconnect: &dispatch.Disconnect{Waiter: id}})
		return dispatch.Reply{}, fault.New(fault.Unknown, "the caller disconnected or its time limit expired", "query the request by its key")
	}
	if r.Err != nil {
		return r, r.Err
	}
	return r, nil
}

// init initialises the unexported fields and sets the defaults. Calls after the
// first have no effect.
func (h *Host) init() {
	h.once.Do(func() {
		h.events = make(chan event, eventQueueSize)
		h.waiters = map[string]*waiter{}
		h.loopDone, h.runDone = make(chan struct{}), make(chan struct{})
		h.view.Store(&View{})
		if h.Logger == nil {
			h.Logger = slog.Default()
		}
		if h.Clock == nil {
			h.Clock = time.Now
		}
		if h.SnapshotRecords == 0 {
			h.SnapshotRecords = 500
		}
		if h.MaxPayloadBytes == 0 && h.Memory > 0 {
			h.MaxPayloadBytes = max(minPayloadBytes, h.Memory/payloadMemoryShare)
		}
		if h.MaxJobs == 0 {
			h.MaxJobs = int(h.Memory / jobMemoryShare / jobBytes)
		}
		h.tail.maxBytes = h.Memory / tailMemoryShare
		if h.SnapshotEvery == 0 {
			h.SnapshotEvery = 5 * time.Minute
		}
		h.Logger = h.Logger.With("host", h.Host(), "dataCentre", h.DataCentre)
	})
}

// Host returns the host's name.
func (h *Host) Host() string { return h.Settings.Host }

// loop applies events until ctx ends or the state machine has drained.
func (h *Host) loop(ctx context.Context) {
	s := &dispatch.State{Settings: h.Settings.Settings}
	start := time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case <-h.group.doneChannel():
			h.group.markDone()
			continue
		case <-ticker.C:
		case e = <-h.events:
		}
		e.Now, e.Wall = time.Since(start).Milliseconds(), h.Clock().UnixMilli()
		if e.Tail != nil {
			h.tail.add(e.Tail.Page.Entries)
		}
		if id := e.Waiter(); id != "" {
			h.markApplied(id)
		}
		if e.inspect != nil {
			e.inspect(s)
		}
		effects := s.Apply(e.Event)
		h.publishView(s)
		for i := range effects {
			if effects[i].Drained != nil {
				return
			}
			h.execute(ctx, &effects[i], e.Now)
		}
		if e.applied != nil {
			close(e.applied)
		}
		h.snapshotIfDue(ctx, s)
		h.dropFetched()
	}
}

// post queues an event for the state machine. It returns false when ctx or the
// loop has ended.
func (h *Host) post(ctx context.Context, e dispatch.Event) bool {
	h.init()
	select {
	case h.events <- event{Event: e}:
		return true
	case <-ctx.Done():
		return false
	case <-h.loopDone:
		return false
	}
}

// apply queues an event for the state machine and waits until it was applied, or
// ctx or the loop has ended.
func (h *Host) apply(ctx context.Context, e dispatch.Event) {
	h.postAndWait(ctx, event{Event: e})
}

// inspect calls fn with the state machine in the state machine's goroutine, and
// waits for it. It returns false when ctx or the loop ended first.
func (h *Host) inspect(ctx context.Context, fn func(*dispatch.State)) bool {
	return h.postAndWait(ctx, event{inspect: fn})
}

// postAndWait queues e and waits until it was applied. It returns false when ctx
// or the loop ended first.
func (h *Host) postAndWait(ctx context.Context, e event) bool {
	h.init()
	done := make(chan struct{})
	e.applied = done
	select {
	case h.events <- e:
	case <-ctx.Done():
		return false
	case <-h.loopDone:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-h.loopDone:
		return false
	}
}

// publishView stores a view of the state machine for other goroutines.
func (h *Host) publishView(s *dispatch.State) {
	v := &View{
		Ready: s.Ready, Stuck: s.NotReadyReason, Draining: s.Draining(), Placer: s.IsPlacer(),
		PlacerName: s.PlacerName(), PlacerAddress: s.PeerAddress(s.PlacerName()), Term: s.Term(),
		Next: s.Ledger.Next, Version: s.Ledger.Config.Version, LogDown: s.LogDown(), LogAge: s.LogAge(),
	}
	v.Checked, v.Broken = s.InvariantCounts()
	v.Queued, v.Placed = s.CountOpenJobs()
	hold, timeout := s.TailTimeouts()
	v.TailHold, v.TailGiveUp = time.Duration(hold)*time.Millisecond, time.Duration(timeout)*time.Millisecond
	h.view.Store(v)
}

// newWaiter registers a waiter and returns it with its ID.
func (h *Host) newWaiter() (string, *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiterCount++
	id := fmt.Sprint(h.waiterCount)
	w := &waiter{reply: make(chan dispatch.Reply, 1)}
	h.waiters[id] = w
	return id, w
}

// markApplied marks the event of a waiter as applied.
func (h *Host) markApplied(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w := h.waiters[id]; w != nil {
		w.applied = true
	}
}

// removeWaiter unregisters a waiter. It has no effect when deliver or failWaiters
// already did so.
func (h *Host) removeWaiter(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiters, id)
}

// deliver sends a reply to its waiter and unregisters it. A reply without a waiter
// is dropped.
func (h *Host) deliver(r dispatch.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w := h.waiters[r.Waiter]; w != nil {
		w.reply <- r
		delete(h.waiters, r.Waiter)
	}
}

// failWaiters replies with an error to the waiters that are left when the host
// ends.
func (h *Host) failWaiters() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, w := range h.waiters {
		err := hostEndedError()
		if !w.applied {
			err = notAppliedError()
		}
		w.reply <- dispatch.Reply{Waiter: id, Err: fault.As(err)}
		delete(h.waiters, id)
	}
}

// notAppliedError returns the error of a request that was not applied because the
// host ended.
func notAppliedError() error {
	return fault.New(fault.Draining, "nothing was done: this host has shut down", "use another host")
}

// hostEndedError returns the error of a request that may have been applied before
// the host ended.
func hostEndedError() error {
	return fault.New(fault.Unknown, "this host has shut down", "query the request by its key at another host")
}

// LiveWorkers returns the number of live workers in the host's ledger, of all data
// centres; 0 when ctx or the host has ended.
func (h *Host) LiveWorkers(ctx context.Context) int {
	n := 0
	h.inspect(ctx, func(s *dispatch.State) {
		for _, w := range s.Ledger.Workers {
			if w.State == record.Live {
				n++
			}
		}
	})
	return n
}

// Fragmentation returns, per cell level, the share of the free slots in the data
// centre that no cell of that level can use; nil when the host has ended.
func (h *Host) Fragmentation() map[string]float64 {
	var m map[string]float64
	h.inspect(context.Background(), func(s *dispatch.State) { m = s.Fragmentation() })
	return m
}
