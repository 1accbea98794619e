package frontend_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/host/frontend"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
	"github.com/limpetrelay/limpetrelay/platform"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// lines returns the lines that contain all parts.
func (l *logBuffer) lines(parts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, line := range strings.Split(l.b.String(), "\n") {
		match := true
		for _, p := range parts {
			match = match && strings.Contains(line, p)
		}
		if match {
			out = append(out, line)
		}
	}
	return out
}

// entryOf returns a worker's directory entry.
func entryOf(born int64, service string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":"127.0.0.1:9","zone":"dc","state":"ready","labels":["a","r1"],"born":%d,
		"free_capacity":{"cpu":16000,"mem_mb":32768,"gpu":0}}`, service, born)
}

// Guards a live worker against odd entries under its key: the host logs a short line for
// each, keeps the worker as it was described, also after a gap, and follows the others.
func TestOddEntryKeepsItsWorker(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	log := &logBuffer{}
	var polls atomic.Int64
	var gap atomic.Bool
	s.adjust = func(h *frontend.Host) {
		h.Logger = slog.New(slog.NewJSONHandler(log, nil))
		h.Poll = func(context.Context, placement.Target, placement.Poll) placement.PollReply {
			polls.Add(1)
			return placement.PollReply{Reply: placement.Reply{Verdict: placement.Unanswered}}
		}
		read := h.Store.Read
		h.Store.Read = func(ctx context.Context, topic string, from uint64, wait time.Duration) (keyedstore.Page, error) {
			if topic == platform.TopicWorkers && gap.CompareAndSwap(true, false) {
				return keyedstore.Page{}, fault.New(fault.Gap, "dropped", "read the newest")
			}
			return read(ctx, topic, from, wait)
		}
	}
	h, _, _ := s.startHost("host")
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	born := time.Now().UnixMilli()
	s.store.Put(platform.TopicWorkers, "i-1", entryOf(born, "service"))
	require.Eventually(t, func() bool { return len(log.lines("worker listed", "i-1")) == 1 }, 5*time.Second, 5*time.Millisecond)
	odd := [][]byte{
		entryOf(born+3_600_000, "service"), entryOf(1<<53, "service"), entryOf(born, "other"),
		bytes.Replace(entryOf(born, "service"), []byte(`"born"`), []byte(`"borne"`), 1),
		[]byte(strings.Repeat("[", 1<<17)), []byte(`{"service":` + strings.Repeat("9", 1<<17) + "}"), {0xff},
	}
	for _, b := range odd {
		s.store.Put(platform.TopicWorkers, "i-1", b)
	}
	s.store.Put(platform.TopicWorkers, "i-2", entryOf(born, "service"))
	require.Eventually(t, func() bool { return len(log.lines("worker listed", "i-2")) == 1 }, 5*time.Second, 5*time.Millisecond)
	ignored := log.lines("entry names no worker", "i-1")
	assert.Len(t, ignored, len(odd))
	for _, line := range ignored {
		assert.Less(t, len(line), 1000)
	}
	gap.Store(true)
	require.Eventually(t, func() bool { return len(log.lines("newest records read", platform.TopicWorkers)) == 2 }, 5*time.Second, 5*time.Millisecond)
	s.store.Put(platform.TopicWorkers, "i-3", entryOf(born, "service"))
	require.Eventually(t, func() bool { return len(log.lines("worker listed", "i-3")) == 1 }, 5*time.Second, 5*time.Millisecond)
	assert.Len(t, log.lines("worker listed", "i-1"), 1)
	assert.Empty(t, log.lines("worker not listed any more"), "an odd entry is not a deleted one")
	s.store.Put(platform.TopicWorkers, "i-1", nil)
	require.Eventually(t, func() bool { return len(log.lines("worker not listed any more", "i-1")) == 1 }, 5*time.Second, 5*time.Millisecond)
	assert.Positive(t, polls.Load())
}

// Guards against an answer with a lifetime in the far future, after which the answers of
// the worker's true lifetime were ignored and it was not polled any more.
func TestLifetimeOfTheFutureIsNoAnswer(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	log := &logBuffer{}
	var polls atomic.Int64
	born := time.Now().UnixMilli()
	s.adjust = func(h *frontend.Host) {
		h.Logger = slog.New(slog.NewJSONHandler(log, nil))
		h.Poll = func(context.Context, placement.Target, placement.Poll) placement.PollReply {
			time.Sleep(20 * time.Millisecond)
			r := placement.PollReply{Reply: placement.Reply{Verdict: placement.Executed, Clock: 1000 + 20*polls.Load()}, Lifetime: born}
			if polls.Add(1) == 2 {
				r.Lifetime = 1<<63 - 1
			}
			return r
		}
	}
	h, _, _ := s.startHost("host")
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	s.store.Put(platform.TopicWorkers, "i-1", entryOf(born, "service"))
	require.Eventually(t, func() bool { return polls.Load() > 5 }, 3*time.Second, 5*time.Millisecond)
	assert.Len(t, log.lines("worker does not answer", "lies in the future"), 1)
}

// Guards against reading the newest records forever, or only some of them, when the parts
// lead nowhere, and against a key that is not UTF-8 at the end of a part.
func TestNewestPartsThatLeadNowhere(t *testing.T) {
	born := time.Now().UnixMilli()
	entry := func(k string) keyedstore.Entry {
		return keyedstore.Entry{Record: jobstate.Record{Key: k, Value: entryOf(born, "service")}}
	}
	parts := map[string]func(after string) keyedstore.NewestPage{
		"the same again": func(string) keyedstore.NewestPage {
			return keyedstore.NewestPage{Entries: []keyedstore.Entry{entry("a")}, More: true}
		},
		"in turn": func(after string) keyedstore.NewestPage {
			return keyedstore.NewestPage{Entries: []keyedstore.Entry{entry(map[bool]string{true: "b", false: "a"}[after == "a"])}, More: true}
		},
		"no key": func(string) keyedstore.NewestPage {
			return keyedstore.NewestPage{Entries: []keyedstore.Entry{entry("")}, More: true}
		},
		"nothing": func(string) keyedstore.NewestPage { return keyedstore.NewestPage{More: true} },
		"unreadable key": func(after string) keyedstore.NewestPage {
			if after == "a" {
				return keyedstore.NewestPage{Entries: []keyedstore.Entry{entry("b\uFFFD"), entry("c")}}
			}
			return keyedstore.NewestPage{Entries: []keyedstore.Entry{entry("a"), entry("b\uFFFD")}, More: true}
		},
	}
	for name, part := range parts {
		t.Run(name, func(t *testing.T) {
			s := newTestSystem(t)
			s.configure(key)
			log := &logBuffer{}
			var calls, good atomic.Int64
			s.adjust = func(h *frontend.Host) {
				h.Logger = slog.New(slog.NewJSONHandler(log, nil))
				newest := h.Store.Newest
				h.Store.Newest = func(ctx context.Context, topic, after string) (keyedstore.NewestPage, error) {
					if topic != platform.TopicWorkers || good.Load() != 0 {
						return newest(ctx, topic, after)
					}
					if calls.Add(1) > 1000 {
						time.Sleep(10 * time.Millisecond) // The fault must not use up the machine.
					}
					return part(after), ctx.Err()
				}
			}
			_, _, _ = s.startHost("host")
			if name == "unreadable key" {
				require.Eventually(t, func() bool { return len(log.lines("worker listed", `"c"`)) == 1 }, 5*time.Second, 5*time.Millisecond)
				return
			}
			require.Eventually(t, func() bool {
				return len(log.lines("dependency lost", platform.TopicWorkers, "do not continue")) == 1
			}, 5*time.Second, 5*time.Millisecond)
			assert.Empty(t, log.lines("newest records read", platform.TopicWorkers), "a part is not the whole")
			assert.Less(t, calls.Load(), int64(100))
			good.Store(1)
			s.store.Put(platform.TopicWorkers, "i-1", entryOf(born, "service"))
			require.Eventually(t, func() bool { return len(log.lines("worker listed", "i-1")) == 1 }, 5*time.Second, 5*time.Millisecond)
		})
	}
}

// Guards the last good configuration: later versions that cannot be decoded, one of them
// very deep, leave it in force, and the next good version comes into force.
func TestOddConfigurationLeavesTheLastInForce(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	log := &logBuffer{}
	s.adjust = func(h *frontend.Host) { h.Logger = slog.New(slog.NewJSONHandler(log, nil)) }
	h, _, _ := s.startHost("host")
	s.waitReady(h)
	odd := []string{strings.Repeat("[", 1<<17), `{"version":` + strings.Repeat("9", 1<<17) + "}", "{}", "null", "\xff",
		`{"version":99,"routes":null}`, `{"version":99,"routes":[],"tenants":[{"name":"x","keys":[""]}]}`}
	for _, b := range odd {
		s.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, []byte(b))
	}
	require.Eventually(t, func() bool { return len(log.lines("configuration cannot be read")) == len(odd) }, 5*time.Second, 5*time.Millisecond)
	for _, line := range log.lines("configuration cannot be read") {
		assert.Less(t, len(line), 1000)
	}
	assert.Equal(t, frontend.UnknownJob, serve(h, frontend.Query, prefix+id, key, time.Second).Outcome)
	assert.Equal(t, frontend.UnknownKey, serve(h, frontend.Query, prefix+id, "", time.Second).Outcome)
	s.configure(key, "key-b")
	require.Eventually(t, func() bool {
		return serve(h, frontend.Query, prefix+id, "key-b", time.Second).Outcome == frontend.UnknownJob
	}, 5*time.Second, 5*time.Millisecond)
}

// Guards against a system without a coordinator: with one odd record among the details,
// every host gave the role back. Only the job of the record fails.
func TestOddDetailDoesNotBarTheRole(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, _, stop := s.startHost("host")
	s.waitReady(h)
	require.Equal(t, frontend.Recorded, serve(h, frontend.Submit, prefix+id, key, time.Second).Outcome)
	require.Equal(t, frontend.Recorded, serve(h, frontend.Submit, prefix+"fedcba9876543210", key, time.Second).Outcome)
	stop()
	for k, v := range map[string]string{"t" + id: strings.Repeat("\x81", 100), "x": "\xff", "tfedcba98": "{}"} {
		s.store.Put(platform.TopicDetails, k, []byte(v))
	}
	h, _, _ = s.startHost("host")
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		return serve(h, frontend.Query, prefix+id, key, time.Second).State == jobspec.Failed
	}, 5*time.Second, 5*time.Millisecond)
	assert.Equal(t, jobspec.Queued, serve(h, frontend.Query, prefix+"fedcba9876543210", key, time.Second).State)
}
