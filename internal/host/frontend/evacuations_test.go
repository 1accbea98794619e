package frontend_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/host/frontend"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
	"github.com/limpetrelay/limpetrelay/platform"
)

// Guards against an evacuation that a coordinator misses when it takes the role, against one that goes on
// although it was withdrawn, or is not noticed although it was requested, while the records could not be
// read or were dropped, against records of other writers that begin or end one, against starts while the
// records cannot be read, and against starts that pause while they can.
func TestEvacuationsReachTheCoordinator(t *testing.T) {
	s, log, born := newTestSystem(t), &logBuffer{}, time.Now().UnixMilli()
	var away, gap atomic.Bool
	var starts atomic.Int64
	s.configure(key)
	s.store.Put(platform.TopicConfiguration, "evacuate/one", []byte("{}"))
	s.adjust = func(h *frontend.Host) {
		if h.Name() != "leader" {
			h.CoreShare = 0.1
			return
		}
		h.Logger, h.EvacuationTimeout = slog.New(slog.NewJSONHandler(log, nil)), 3500
		executed := func() placement.Reply {
			return placement.Reply{Verdict: placement.Executed, Clock: time.Now().UnixMilli() - born + 1000}
		}
		h.Start = func(context.Context, placement.Target, placement.Start) placement.Reply {
			starts.Add(1)
			return executed()
		}
		h.Poll = func(context.Context, placement.Target, placement.Poll) placement.PollReply {
			time.Sleep(20 * time.Millisecond)
			return placement.PollReply{Reply: executed(), Lifetime: born}
		}
		read := h.Store.Read
		h.Store.Read = func(ctx context.Context, topic string, from uint64, wait time.Duration) (keyedstore.Page, error) {
			switch {
			case topic == platform.TopicConfiguration && away.Load():
				return keyedstore.Page{}, fault.New(fault.Unavailable, "away", "wait")
			case topic == platform.TopicConfiguration && gap.CompareAndSwap(true, false):
				return keyedstore.Page{}, fault.New(fault.Gap, "dropped", "read the newest")
			}
			return read(ctx, topic, from, wait)
		}
	}
	h, _, _ := s.startHost("leader")
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	other, _, _ := s.startHost("other")
	s.waitReady(other)
	awaitLine := func(parts ...string) {
		t.Helper()
		require.Eventually(t, func() bool { return len(log.lines(parts...)) == 1 }, 5*time.Second, 5*time.Millisecond, "%v", parts)
	}
	submit := func(n int) {
		t.Helper()
		require.Equal(t, frontend.Recorded, serve(other, frontend.Submit, fmt.Sprintf("%s%016x", prefix, n), key, time.Second).Outcome)
	}
	awaitLine("data centre evacuated", `"one"`, "atStart")
	for k, v := range map[string]string{"evacuate/one": "null", "evacuate/": "{}", "evacuate/odd": "[]", "evacuate/two": "{}"} {
		s.store.Put(platform.TopicConfiguration, k, []byte(v))
	}
	awaitLine("data centre evacuated", `"two"`)
	require.Eventually(t, func() bool { return len(log.lines("evacuation cannot be read")) == 3 }, time.Second, time.Millisecond)
	s.store.Put(platform.TopicWorkers, "i-1", entryOf(born, "service"))
	submit(1)
	require.Eventually(t, func() bool { return starts.Load() == 1 }, 3*time.Second, time.Millisecond)

	away.Store(true)
	time.Sleep(2500 * time.Millisecond) // Starts need records that are at most 2 s old.
	before := starts.Load()
	submit(2)
	s.store.Put(platform.TopicConfiguration, "evacuate/two", nil)
	s.store.Put(platform.TopicConfiguration, "evacuate/three", []byte("{}"))
	time.Sleep(500 * time.Millisecond)
	assert.True(t, h.IsLeader())
	assert.Equal(t, before, starts.Load())
	gap.Store(true)
	away.Store(false)
	require.Eventually(t, func() bool { return starts.Load() > before }, 3*time.Second, time.Millisecond)
	awaitLine("evacuation ended", `"two"`)
	awaitLine("data centre evacuated", `"three"`)
	assert.Empty(t, log.lines("evacuation ended", `"one"`), "its newest record cannot be read")
	h.UpdateGauges()
	var b bytes.Buffer
	h.Metrics.WriteJSON(&b)
	assert.Regexp(t, `"evacuations":\s*\{\s*"value":\s*2\b`, b.String())
}
