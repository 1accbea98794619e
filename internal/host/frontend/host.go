package frontend

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/host/hostconfig"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
	"github.com/limpetrelay/limpetrelay/measure"
)

// Host is one entry host. Its exported fields are set before Run; Metrics may be
// shared with others.
type Host struct {
	hostconfig.Settings
	Dependencies
	// Incarnation names this start of the process. It is never empty.
	Incarnation string
	// Logger takes the log lines. Default slog.Default().
	Logger  *slog.Logger
	Metrics measure.Metrics

	// config is nil until the first version has been read, and configProof is when the
	// read was sent that last showed it to be the newest.
	config      atomic.Pointer[queueconfig.Configuration]
	configProof atomic.Int64

	// mu guards what follows.
	mu   sync.Mutex
	book jobstate.Table
	// loaded is set once the book holds what the store held when the host came up.
	loaded bool
	// lastLife is the claim that was in force when the book was first read.
	lastLife jobstate.Claim
	// claimSeen is when the book last took a record of a coordinator.
	claimSeen int64
	// prior is the claim before the one under which this host coordinates.
	prior jobstate.Claim
	// feed takes the changes for this host's own coordinator; nil when it is not one.
	feed func(coordinator.Event)

	// reloaded has the settings of the last reload; nil before.
	reloaded *hostconfig.Settings

	// revocation is the bound for withdrawn keys that is in force.
	revocation atomic.Int64
	// jobsProof is when the read was sent that last showed the book to be complete.
	jobsProof atomic.Int64
	// jobsFailing is set while the last read of the jobs failed.
	jobsFailing atomic.Bool
	// roundTrip is how long the store takes for a short answer, in milliseconds.
	roundTrip atomic.Int64
	// unfitUntil is when this host may claim the role again; only takeRoles uses it.
	unfitUntil int64
	draining   atomic.Bool
	leading    atomic.Bool

	writer writer
	down   dependencyMonitor
}

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loops := []func(context.Context){h.followConfiguration, h.followJobs, h.write, h.takeRoles, h.reportDeparture}
	ends := make(chan struct{}, len(loops))
	for _, l := range loops {
		go func() {
			l(ctx)
			ends <- struct{}{}
		}()
	}
	var err error
	<-ends
	if ctx.Err() == nil {
		err = errors.New("a loop of the host ended by itself")
	}
	cancel()
	for range len(loops) - 1 {
		<-ends
	}
	return err
}

// init makes what the zero value lacks.
func (h *Host) init() {
	if h.Logger == nil {
		h.Logger = slog.Default()
	}
	if h.Monotonic == nil {
		h.Monotonic = sinceBoot
	}
	if h.Wall == nil {
		h.Wall = time.Now
	}
	h.revocation.Store(h.Revocation)
	h.writer.init()
	h.down.init(h)
}

// Drain makes the host report that it is not ready and give its role up.
func (h *Host) Drain() { h.draining.Store(true) }

// Leading reports whether the host coordinates.
func (h *Host) IsLeader() bool { return h.leading.Load() }

const (
	// proofMargin is what a proof of the configuration must be younger than the bound
	// for withdrawn keys: it covers the way of the answer and timers, in milliseconds.
	proofMargin = 600
	// denialAge is the oldest proof with which a key or a queue may be called unknown,
	// in milliseconds; the operators allow 2.5 s for a change to be in force.
	denialAge = 2000
	// readyAge is the oldest proof with which a host asks for new connections, in
	// milliseconds. Three reads in a row must have failed.
	readyAge = 3000
)

// Ready reports whether the host can serve new connections, and why not.
func (h *Host) Ready() (bool, string) {
	now := h.now()
	switch {
	case h.draining.Load():
		return false, "shutting down"
	case h.config.Load() == nil:
		return false, "no configuration yet"
	case !h.isLoaded():
		return false, "the jobs have not been read yet"
	case now-h.configProof.Load() > readyAge || now-h.jobsProof.Load() > readyAge:
		return false, "the store does not answer"
	}
	return true, ""
}

// Name returns the host's name.
func (h *Host) Name() string { return h.Host }

func (h *Host) now() int64 { return h.Monotonic() }

func (h *Host) isLoaded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loaded
}
