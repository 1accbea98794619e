package frontend

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
)

// Topics names the partitions of the store.
type Topics struct {
	Configuration, Workers, Status, Jobs string
	// Details is read by a host that takes the coordinator's role, and by no other.
	Details string
	// ConfigurationKey is the key of the configuration's record.
	ConfigurationKey string
}

// Dependencies are a host's ways to the outside. All but Monotonic, Wall and QueryAdvice are
// required.
type Dependencies struct {
	Store  keyedstore.Store
	Topics Topics
	// DecodeConfiguration and DecodeWorker read records of others.
	DecodeConfiguration func([]byte) (*queueconfig.Configuration, error)
	DecodeWorker        func(id string, b []byte) (placement.Listing, error)
	// Start, Stop and Poll give orders to workers.
	Start func(context.Context, placement.Target, placement.Start) placement.Reply
	Stop  func(context.Context, placement.Target, placement.Stop) placement.Reply
	Poll  func(context.Context, placement.Target, placement.Poll) placement.PollReply
	// QueryAdvice returns tickets by worker and their validity in milliseconds.
	QueryAdvice func(ctx context.Context, step jobspec.TaskID, workers []string) (map[string]string, int64, error)
	// Monotonic returns a time in milliseconds that never goes back and counts the time
	// while the host was frozen. Default: the time since boot.
	Monotonic func() int64
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
