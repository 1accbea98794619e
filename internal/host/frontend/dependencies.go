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
	// Details is read only by a host that acquires the coordinator's role.
	Details string
	// ConfigurationKey is the key of the configuration's record in the partition
	// Configuration.
	ConfigurationKey string
	// EvacuationPrefix begins the keys of the requests to evacuate a data centre in the same
	// partition; empty for none.
	EvacuationPrefix string
}

// Dependencies are the external services, decoders and clocks that a host uses. All
// but DecodeEvacuation, Monotonic, Wall and QueryAdvice are required.
type Dependencies struct {
	Store  keyedstore.Store
	Topics Topics
	// DecodeConfiguration and DecodeWorker decode the records of operators and workers.
	DecodeConfiguration func([]byte) (*queueconfig.Configuration, error)
	DecodeWorker        func(id string, b []byte) (placement.Listing, error)
	// DecodeEvacuation decodes a request to evacuate a data centre and reports whether it is in force.
	// It also returns the data centre if only the value cannot be read.
	DecodeEvacuation func(key string, value []byte) (dataCentre string, active bool, err error)
	// Start, Stop and Poll send orders to workers.
	Start func(context.Context, placement.Target, placement.Start) placement.Reply
	Stop  func(context.Context, placement.Target, placement.Stop) placement.Reply
	Poll  func(context.Context, placement.Target, placement.Poll) placement.PollReply
	// QueryAdvice returns the tickets for a step by worker and their validity in
	// milliseconds. If it is nil, no tickets are requested.
	QueryAdvice func(ctx context.Context, step jobspec.TaskID, workers []string) (map[string]string, int64, error)
	// Monotonic returns a time in milliseconds that never decreases and includes the
	// time during which the host was suspended. Default: the time since boot.
	Monotonic func() int64
	// Wall returns the time of day. Default time.Now.
	Wall func() time.Time
}

// sinceBoot returns the time since boot in milliseconds, including suspended time.
func sinceBoot() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every supported kernel, and the process must not continue
		// with a clock that excludes suspended time.
		panic(err)
	}
	return t.Nano() / int64(time.Millisecond)
}
