package clerk

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/limpetrelay/limpetrelay/internal/depot/shelf"
	"github.com/limpetrelay/limpetrelay/internal/yard/crew"
	"github.com/limpetrelay/limpetrelay/internal/yard/order"
	"github.com/limpetrelay/limpetrelay/internal/yard/route"
)

// Topics names the partitions of the store.
type Topics struct {
	Configuration, Workers, Status, Jobs string
	// Details is read by a host that takes the coordinator's role, and by no other.
	Details string
	// ConfigurationKey is the key of the configuration's record.
	ConfigurationKey string
}

// Seams are a host's ways to the outside. All but Steady, Wall and Advise are
// required.
type Seams struct {
	Store  shelf.Store
	Topics Topics
	// DecodeConfiguration and DecodeWorker read records of others.
	DecodeConfiguration func([]byte) (*route.Configuration, error)
	DecodeWorker        func(id string, b []byte) (crew.Listing, error)
	// Start, Stop and Hold give orders to workers.
	Start func(context.Context, crew.Target, crew.Start) crew.Reply
	Stop  func(context.Context, crew.Target, crew.Stop) crew.Reply
	Hold  func(context.Context, crew.Target, crew.Hold) crew.Held
	// Advise returns tickets by worker and their validity in milliseconds.
	Advise func(ctx context.Context, step order.Name, workers []string) (map[string]string, int64, error)
	// Steady returns a time in milliseconds that never goes back and counts the time
	// while the host was frozen. Default: the time since boot.
	Steady func() int64
	// Wall returns the time of day. Default time.Now.
	Wall func() time.Time
}

// sinceBoot returns the time since boot in milliseconds, with suspended time.
func sinceBoot() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every supported kernel; the process must not go on with
		// a clock that hides freezes.
		panic(err)
	}
	return t.Nano() / int64(time.Millisecond)
}
