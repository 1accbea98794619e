package httpserver

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"github.com/limpetrelay/limpetrelay/measure"
)

const (
	// memoryShare is the share of a host's memory up to which data may be in use: the
	// runtime's soft limit is 0.7, and the garbage collector needs room below it.
	memoryShare = 0.6
	// ownBytes is the part of that share that the process needs without clients: a
	// coordinator has had a peak of 45 MB.
	ownBytes = 48 << 20
	// minBytes is the least memory for clients: one body of 1 MiB, the largest without a
	// configured limit, takes up to 10 MiB while it is decoded.
	minBytes = 16 << 20
	// fileDescriptors is the number of descriptors that the operators reserve for files.
	fileDescriptors = 200
	// outgoingDescriptors is the largest number of connections of a coordinator: two to each
	// of 870 workers, and 16 to the store and the advisory service.
	outgoingDescriptors = 2*870 + 16
	// sweepInterval is how often connections are checked for their timeouts.
	sweepInterval = 250 * time.Millisecond
	// reportInterval is how often the closed connections are reported.
	reportInterval = time.Second
)

// Budget bounds the memory and the descriptors that the clients of a process take. Its
// pools, one for each server, have fixed parts of it.
type Budget struct {
	// Limits returns the limits in force; nil for the defaults.
	Limits func() Limits
	// Report is called at most once a second with the number of connections that were
	// closed or refused since the last call, if there are any; nil for no reports.
	Report func(map[Closed]int64)

	bytes, conns int64
	pools        []*Pool
}

// Closed says which connections were closed or refused, and why.
type Closed struct {
	// Pool is the name of the pool.
	Pool   string
	Reason Reason
}

// Reason is the reason for which a connection was closed or refused.
type Reason string

// The reasons.
const (
	// Evicted connections had made the least progress when a bound was met.
	Evicted Reason = "evicted"
	// Refused requests and connections met a bound while no other connection could be closed.
	Refused        Reason = "refused"
	HeaderTooLarge Reason = "headerTooLarge"
	HeaderTimedOut Reason = "headerTimedOut"
	BodyTimedOut   Reason = "bodyTimedOut"
	IdleTimedOut   Reason = "idleTimedOut"
	// Stopped requests were incomplete when the server had to stop.
	Stopped Reason = "stopped"
)

// NewBudget returns the budget of a host with the given memory in bytes and the given number
// of descriptors, where 0 means no bound.
func NewBudget(memory, descriptors int64) *Budget {
	b := &Budget{bytes: max(minBytes, int64(memoryShare*float64(memory))-ownBytes), conns: math.MaxInt32}
	if descriptors > 0 {
		left := max(0, descriptors-fileDescriptors)
		b.conns = left - min(outgoingDescriptors, left/2)
	}
	return b
}

// NewPool returns a pool with a share of the budget. The shares must not exceed 1 in total,
// and all pools must be created before Run.
func (b *Budget) NewPool(name string, share float64) *Pool {
	p := newPool(name, int64(share*float64(b.bytes)), max(1, int64(share*float64(b.conns))))
	b.pools = append(b.pools, p)
	return p
}

// Run closes the connections whose time is up, and reports, until ctx ends.
func (b *Budget) Run(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	reported := time.Now()
	for {
		select {
		case <-ctx.Done():
			b.report()
			return nil
		case now := <-t.C:
			b.sweep(now)
			if now.Sub(reported) >= reportInterval {
				reported = now
				b.report()
			}
		}
	}
}

func (b *Budget) sweep(now time.Time) {
	var l Limits
	if b.Limits != nil {
		l = b.Limits()
	}
	l = l.withDefaults()
	for _, p := range b.pools {
		p.limits.Store(&l)
		p.closeTimedOut(now)
	}
}

func (b *Budget) report() {
	sum := map[Closed]int64{}
	for _, p := range b.pools {
		for r, n := range p.takeClosed() {
			sum[Closed{p.name, r}] = n
		}
	}
	if len(sum) > 0 && b.Report != nil {
		b.Report(sum)
	}
}

// Usage returns the bytes that are charged to clients and the number of their connections.
func (b *Budget) Usage() (bytes, conns int64) {
	for _, p := range b.pools {
		p.mu.Lock()
		bytes, conns = bytes+p.used, conns+int64(len(p.conns))
		p.mu.Unlock()
	}
	return bytes, conns
}

// limitsPointer holds the limits in force, with defaults and margins.
type limitsPointer struct{ atomic.Pointer[Limits] }

func (l *limitsPointer) get() Limits {
	if p := l.Load(); p != nil {
		return *p
	}
	return Limits{}.withDefaults()
}

// Reporter returns a function for Budget.Report. It counts the connections that were closed or
// refused and logs them. Idle ones are only counted, since callers leave them behind in
// ordinary operation.
func Reporter(l *slog.Logger, m *measure.Metrics) func(map[Closed]int64) {
	return func(closed map[Closed]int64) {
		var sum int64
		var attrs []any
		for c, n := range closed {
			m.Count("closedConnections", c.Pool, string(c.Reason), n)
			if c.Reason != IdleTimedOut {
				sum += n
				attrs = append(attrs, slog.Int64(c.Pool+"."+string(c.Reason), n))
			}
		}
		if sum > 0 {
			l.Warn("connections closed", append(attrs, slog.Int64("count", sum))...)
		}
	}
}
