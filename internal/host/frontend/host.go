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

// Host is one entry host. Its exported fields must be set before Run; Metrics may be
// shared with other components.
type Host struct {
	hostconfig.Settings
	Dependencies
	// Incarnation identifies this start of the process. It must not be empty.
	Incarnation string
	// Logger defaults to slog.Default().
	Logger  *slog.Logger
	Metrics measure.Metrics

	// config is nil until the first version has been read. configVerifiedAt is the time
	// at which the read was sent that last confirmed config as the newest version, and
	// evacuations as complete.
	config           atomic.Pointer[queueconfig.Configuration]
	configVerifiedAt atomic.Int64

	// mu guards the fields from table to reloadedSettings.
	mu    sync.Mutex
	table jobstate.Table
	// endWaiters holds the queries that wait for the end of a job.
	endWaiters endWaiters
	// loaded is set once table holds what the store held when the host started.
	loaded bool
	// claimSeenAt is when table was last loaded or last applied a claim, a renewal or a
	// resignation, moved by the time for which the jobs could not be read since.
	claimSeenAt int64
	// priorClaim is the claim before the one under which this host is the coordinator.
	priorClaim jobstate.Claim
	// pending holds, by ID, admitted jobs that are not in table yet.
	pending map[string]pendingJob
	// postEvent passes an event to this host's coordinator; nil while the host is not the
	// coordinator.
	postEvent func(coordinator.Event)
	// evacuations is the copy of the operators' requests. A change is stored in the critical section
	// in which postEvent is read, so that the coordinator either starts with it or is passed it.
	evacuations evacuations

	// reloadedSettings are the settings of the last reload; nil before the first.
	reloadedSettings *hostconfig.Settings

	// currentRevocationTimeout is Settings.RevocationTimeout as of the start or the last
	// reload, in milliseconds: the time after which no host may accept a revoked API
	// key.
	currentRevocationTimeout atomic.Int64
	// jobsVerifiedAt is the time at which the read was sent that last confirmed that
	// table is complete.
	jobsVerifiedAt atomic.Int64
	// jobsReadFailed is set if the last read of the jobs failed.
	jobsReadFailed atomic.Bool
	// roundTrip is the estimated time of a short call to the store, in milliseconds.
	roundTrip atomic.Int64
	// wallLead is the highest difference between the time of day and now that was seen, in
	// milliseconds; see latestWall.
	wallLead atomic.Int64
	// ineligibleUntil is the time before which this host must not claim the role. It is
	// used by the goroutine of acquireRole only.
	ineligibleUntil int64
	// exitedTerm is the last term in which this host is known to have stopped coordinating,
	// or never began to; 0 for none.
	exitedTerm atomic.Uint64
	draining   atomic.Bool
	leading    atomic.Bool

	writer  writer
	monitor dependencyMonitor
}

// Run follows the store, writes the records of requests and acquires the coordinator's
// role until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loops := []func(context.Context){h.followConfiguration, h.followJobs, h.write, h.acquireRole, h.reportExits}
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
		err = errors.New("a host loop returned before shutdown")
	}
	cancel()
	for range len(loops) - 1 {
		<-ends
	}
	return err
}

// init sets the defaults of unset fields and the internal state.
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
	h.wallLead.Store(h.Wall().UnixMilli() - h.now())
	h.currentRevocationTimeout.Store(h.RevocationTimeout)
	h.endWaiters = make(endWaiters)
	h.writer.init()
	h.monitor.init(h)
}

// Drain makes the host report that it is not ready, resign the coordinator's role and
// ask callers to close their connections. It continues to serve requests.
func (h *Host) Drain() { h.draining.Store(true) }

// IsLeader reports whether the host is the coordinator.
func (h *Host) IsLeader() bool { return h.leading.Load() }

const (
	// revocationMargin is subtracted from the revocation timeout to get the maximum age of
	// the configuration's last freshness check at which requests may be served, in
	// milliseconds. It covers the network delay of the response and timer inaccuracy.
	revocationMargin = 600
	// maxConfigDenialAge is the maximum age of the configuration's last freshness check
	// at which an API key or a queue may be reported as unknown, in milliseconds. The
	// operators allow 2.5 s for a change to come into force.
	maxConfigDenialAge = 2000
	// maxReadyAge is the maximum age of the last freshness checks at which a host reports
	// that it is ready, in milliseconds. It is exceeded only if three reads in a row fail.
	maxReadyAge = 3000
)

// Ready reports whether the host can serve new connections and, if not, why.
func (h *Host) Ready() (bool, string) {
	now := h.now()
	switch {
	case h.draining.Load():
		return false, "shutting down"
	case h.config.Load() == nil:
		return false, "no configuration yet"
	case !h.isLoaded():
		return false, "the jobs have not been loaded yet"
	case now-h.configVerifiedAt.Load() > maxReadyAge || now-h.jobsVerifiedAt.Load() > maxReadyAge:
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
