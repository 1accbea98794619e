package frontend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/host/frontend"
	"github.com/limpetrelay/limpetrelay/internal/host/hostconfig"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/platform"
	"github.com/limpetrelay/limpetrelay/standin/emulator"
)

const (
	queue  = "queue.example"
	prefix = "/plans/"
	key    = "key-a"
	id     = "0123456789abcdef"
)

// testSystem consists of a stand-in for the store and the hosts that use it.
type testSystem struct {
	t       *testing.T
	store   *emulator.Store
	address string
	version int
	// adjust, if set, is called with each host before it runs.
	adjust func(*frontend.Host)
}

func newTestSystem(t *testing.T) *testSystem {
	s := &testSystem{t: t, store: &emulator.Store{}}
	server := httptest.NewServer(s.store.Handler())
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// configure writes the next version of the configuration, with the given API keys.
func (s *testSystem) configure(keys ...string) {
	s.version++
	b, err := json.Marshal(map[string]any{
		"version": s.version,
		"routes": []map[string]any{{
			"name": "plans", "host": queue, "path_prefix": prefix, "service": "service", "max_attempts": 3,
			"stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000,
		}},
		"services": []map[string]any{{"name": "service", "rejects_overload": true}},
		"tenants":  []map[string]any{{"name": "crew", "keys": keys}},
		"limits":   map[string]any{"body_bytes": 4096},
	})
	require.NoError(s.t, err)
	s.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, b)
}

// startHost starts a host; stop ends it at once. The host's clock is ahead by clockSkip
// milliseconds, as after a suspension.
func (s *testSystem) startHost(name string) (h *frontend.Host, clockSkip *atomic.Int64, stop func()) {
	return s.startHostAs(name, name+"-1")
}

// startHostAs is startHost with a given incarnation.
func (s *testSystem) startHostAs(name, incarnation string) (h *frontend.Host, clockSkip *atomic.Int64, stop func()) {
	c := platform.NewHTTPClient()
	w := platform.WorkerClient{Client: c}
	clockSkip = &atomic.Int64{}
	began := time.Now()
	h = &frontend.Host{
		Settings:    hostconfig.Settings{Host: name, RevocationTimeout: 5000, MaxLease: 10_000, MaxAppendBytes: 1 << 20, CoreShare: 1, MemoryMB: 128},
		Incarnation: incarnation, Logger: slog.New(slog.DiscardHandler),
		Dependencies: frontend.Dependencies{
			Store: platform.NewStore(c, s.address),
			Topics: frontend.Topics{
				Configuration: platform.TopicConfiguration, Workers: platform.TopicWorkers, Status: platform.TopicStatus,
				Jobs: platform.TopicJobs, Details: platform.TopicDetails, ConfigurationKey: platform.KeyConfiguration,
				EvacuationPrefix: platform.EvacuationPrefix,
			},
			DecodeConfiguration: platform.DecodeConfiguration, DecodeWorker: platform.DecodeWorker, DecodeEvacuation: platform.DecodeEvacuation,
			Start: w.Start, Stop: w.Stop, Poll: w.Poll,
			Monotonic: func() int64 { return time.Since(began).Milliseconds() + 100_000 + clockSkip.Load() },
		},
	}
	if s.adjust != nil {
		s.adjust(h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			require.NoError(s.t, <-ended)
		}
	}
	s.t.Cleanup(stop)
	return h, clockSkip, stop
}

func (s *testSystem) waitReady(h *frontend.Host) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { ok, _ := h.Ready(); return ok }, 5*time.Second, 5*time.Millisecond)
}

// serve makes a request; a submitted job has one task.
func serve(h *frontend.Host, v frontend.Verb, path, k string, timeout time.Duration) frontend.Response {
	return h.Serve(context.Background(), &frontend.Request{
		Verb: v, Host: queue, Path: path, Key: k, Timeout: timeout, ValidID: platform.ValidID,
		Decode: func(int) (jobspec.Spec, error) {
			return platform.DecodeJob([]byte(`{"spec":"x","steps":[{"count":1,"cpu":1000,"est_ms":500}]}`))
		},
	})
}

// Guards against two coordinators: claims by several hosts at the same offset look to
// the store like repeats of one append, so that it confirms all of them.
func TestOneHostHoldsTheRole(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	hosts := map[*frontend.Host]func(){}
	for i := range 5 {
		h, _, stop := s.startHost(fmt.Sprint("host", i))
		hosts[h] = stop
	}
	leaders := func() (n int, last *frontend.Host) {
		for h := range hosts {
			if h.IsLeader() {
				n, last = n+1, h
			}
		}
		return n, last
	}
	require.Eventually(t, func() bool { n, _ := leaders(); return n > 0 }, 5*time.Second, time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	n, first := leaders()
	require.Equal(t, 1, n)
	hosts[first]()
	delete(hosts, first)
	require.Eventually(t, func() bool { n, _ := leaders(); return n == 1 }, 5*time.Second, time.Millisecond)
}

func TestAnswers(t *testing.T) {
	s := newTestSystem(t)
	h, _, _ := s.startHost("host")
	assert.Equal(t, frontend.NotExecuted, serve(h, frontend.Submit, prefix+id, key, time.Second).Outcome, "before the configuration")
	s.configure(key)
	s.waitReady(h)
	for _, c := range []struct {
		name, path, key string
		verb            frontend.Verb
		want            frontend.Outcome
	}{
		{"unknown key", prefix + id, "other", frontend.Submit, frontend.UnknownKey},
		{"no key", prefix + id, "", frontend.Query, frontend.UnknownKey},
		{"unknown queue", "/other/" + id, key, frontend.Submit, frontend.UnknownQueue},
		{"short ID", prefix + "12", key, frontend.Submit, frontend.Malformed},
		{"long ID", prefix + id + "0", key, frontend.Submit, frontend.Malformed},
		{"unknown job", prefix + id, key, frontend.Query, frontend.UnknownJob},
		{"cancel of an unknown job", prefix + id, key, frontend.Cancel, frontend.UnknownJob},
		{"empty queue", prefix, key, frontend.Query, frontend.CountReported},
		{"job", prefix + id, key, frontend.Submit, frontend.Recorded},
		{"the same job again", prefix + id, key, frontend.Submit, frontend.Recorded},
	} {
		assert.Equal(t, c.want, serve(h, c.verb, c.path, c.key, time.Second).Outcome, c.name)
	}
	require.Eventually(t, func() bool { return serve(h, frontend.Query, prefix+id, key, time.Second).State == jobspec.Queued },
		time.Second, 5*time.Millisecond)
	assert.Equal(t, 1, serve(h, frontend.Query, prefix, key, time.Second).Queued)
	other := frontend.Request{
		Verb: frontend.Submit, Host: queue, Path: prefix + id, Key: key, ValidID: platform.ValidID,
		Decode: func(int) (jobspec.Spec, error) {
			return platform.DecodeJob([]byte(`{"spec":"y","steps":[{"count":1}]}`))
		},
	}
	assert.Equal(t, frontend.IDReused, h.Serve(context.Background(), &other).Outcome)
	assert.Equal(t, frontend.Recorded, serve(h, frontend.Cancel, prefix+id, key, time.Second).Outcome)
}

// Guards against a refusal for want of memory that says the body was wrong, or that leaves a job.
func TestRefusalForWantOfMemory(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, _, _ := s.startHost("host")
	s.waitReady(h)
	resp := h.Serve(context.Background(), &frontend.Request{
		Verb: frontend.Submit, Host: queue, Path: prefix + id, Key: key, ValidID: platform.ValidID,
		Decode: func(int) (jobspec.Spec, error) {
			return jobspec.Spec{}, fault.New(fault.Overloaded, "no memory", "retry")
		},
	})
	assert.Equal(t, frontend.NotExecuted, resp.Outcome)
	assert.True(t, resp.Close && resp.RetryAfter > 0)
	assert.Equal(t, frontend.UnknownJob, serve(h, frontend.Query, prefix+id, key, time.Second).Outcome)
}

// Guards against jobs that take all memory of the hosts while they are open, and against large
// ones that leave no room for others.
func TestOpenJobsAreBounded(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, _, _ := s.startHost("host")
	s.waitReady(h)
	submit := func(n, size int) frontend.Response {
		return h.Serve(context.Background(), &frontend.Request{
			Verb: frontend.Submit, Host: queue, Path: prefix + fmt.Sprintf("%016x", n), Key: key, ValidID: platform.ValidID,
			Decode: func(int) (jobspec.Spec, error) {
				return jobspec.Spec{Payload: "x", Steps: []jobspec.Step{{Tasks: 1, Image: strings.Repeat("p", size)}}}, nil
			},
		})
	}
	const size = 250_000
	var n atomic.Int64
	var wg sync.WaitGroup
	for i := range 120 {
		wg.Go(func() {
			if submit(i, size).Outcome == frontend.Recorded {
				n.Add(1)
			}
		})
	}
	wg.Wait()
	assert.EqualValues(t, 60, n.Load(), "one more would take an eighth of what is left of 16 MiB")
	assert.Equal(t, frontend.NotExecuted, submit(200, size).Outcome)
	assert.Equal(t, frontend.Recorded, submit(201, 1000).Outcome)
}

func TestWithdrawnKey(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key, "key-b")
	h, _, _ := s.startHost("host")
	s.waitReady(h)
	assert.Equal(t, frontend.UnknownJob, serve(h, frontend.Query, prefix+id, "key-b", time.Second).Outcome)
	s.configure(key)
	require.Eventually(t, func() bool {
		return serve(h, frontend.Query, prefix+id, "key-b", time.Second).Outcome == frontend.UnknownKey
	},
		2*time.Second, 5*time.Millisecond)
}

// Guards against responses from stale copies: a host that was suspended or has lost the
// store must neither report jobs and keys as unknown nor accept keys.
func TestFrozenHostServesNothingOnOldKnowledge(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, clockSkip, _ := s.startHost("host")
	s.waitReady(h)
	s.store.SetDown(true)
	clockSkip.Add(4000)
	assert.Equal(t, frontend.NotExecuted, serve(h, frontend.Query, prefix+id, key, time.Second).Outcome, "a stale job table must not report a job as unknown")
	assert.Equal(t, frontend.NotExecuted, serve(h, frontend.Query, prefix+id, "other", time.Second).Outcome, "a stale configuration must not report a key as unknown")
	clockSkip.Add(1000)
	resp := serve(h, frontend.Submit, prefix+id, key, time.Second)
	assert.Equal(t, frontend.NotExecuted, resp.Outcome, "a key is not accepted if the last freshness check is too old")
	assert.Positive(t, resp.RetryAfter)
	s.store.SetDown(false)
	require.Eventually(t, func() bool {
		return serve(h, frontend.Submit, prefix+id, key, time.Second).Outcome == frontend.Recorded
	},
		5*time.Second, 20*time.Millisecond)
}

// An append whose answer is lost may be in the store, so that the request must not be
// reported as not executed.
func TestLostAnswerIsNoRefusal(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, _, _ := s.startHost("host")
	s.waitReady(h)
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	s.store.SetLossRate(1)
	resp := serve(h, frontend.Submit, prefix+id, key, 300*time.Millisecond)
	assert.Equal(t, frontend.Indeterminate, resp.Outcome)
	s.store.SetLossRate(0)
	require.Eventually(t, func() bool {
		return serve(h, frontend.Submit, prefix+id, key, time.Second).Outcome == frontend.Recorded
	},
		5*time.Second, 20*time.Millisecond)
	assert.Equal(t, frontend.StateReported, serve(h, frontend.Query, prefix+id, key, time.Second).Outcome)
}

// If the store refuses calls instead of not answering them, requests fail at once and
// are reported as not executed.
func TestStoreDownIsRefusedAtOnce(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, _, _ := s.startHost("host")
	s.waitReady(h)
	s.store.SetDown(true)
	began := time.Now()
	resp := serve(h, frontend.Submit, prefix+id, key, 3*time.Second)
	assert.Equal(t, frontend.NotExecuted, resp.Outcome)
	assert.Positive(t, resp.RetryAfter)
	assert.Less(t, time.Since(began), 1500*time.Millisecond)
	assert.Contains(t, resp.Message, "nothing was done")
}

// A host that starts after the store has dropped old records loads the newest record of
// each key instead.
func TestForgottenHistory(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, _, _ := s.startHost("host")
	s.waitReady(h)
	require.Equal(t, frontend.Recorded, serve(h, frontend.Submit, prefix+id, key, time.Second).Outcome)
	s.store.DropHistory(platform.TopicJobs)
	s.store.DropHistory(platform.TopicConfiguration)
	late, _, _ := s.startHost("late")
	s.waitReady(late)
	require.Eventually(t, func() bool {
		return serve(late, frontend.Query, prefix+id, key, time.Second).Outcome == frontend.StateReported
	},
		3*time.Second, 5*time.Millisecond)
}

// Guards against waiting for a new record or for coordinatorTimeout after a restart: the
// host must be ready at once and reacquire the role that its previous process held.
func TestRestartedCoordinatorLosesNoTime(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, _, stop := s.startHost("host")
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	stop()
	began := time.Now()
	again, _, _ := s.startHost("host")
	s.waitReady(again)
	assert.Less(t, time.Since(began), 500*time.Millisecond)
	require.Eventually(t, again.IsLeader, 5*time.Second, time.Millisecond)
	assert.Less(t, time.Since(began), time.Second)
}

// Only the host itself can know that its previous process has ended. After a restart it
// writes an exit record, so that the next coordinator need not wait for leases that the
// ended process might still renew.
func TestDepartureIsRecorded(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, _, stop := s.startHost("host")
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	s.store.SetDown(true) // The host cannot write its resignation.
	stop()
	s.store.SetDown(false)
	exitRecorded := func() bool { return s.store.Newest(platform.TopicJobs, "dhost") != nil }
	_, _, stopOther := s.startHost("other")
	time.Sleep(200 * time.Millisecond)
	assert.False(t, exitRecorded(), "another host cannot know that the process has ended")
	stopOther()
	h, _, _ = s.startHostAs("host", "host-2")
	s.waitReady(h)
	require.Eventually(t, exitRecorded, 5*time.Second, 5*time.Millisecond)
}

// Requests that arrive while the store does not answer are refused at once, before
// anything is sent to the store, so that callers can retry. Requests succeed again as
// soon as the store answers.
func TestSilentStoreRefusesAtOnce(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	h, _, _ := s.startHost("host")
	s.waitReady(h)
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	s.store.SetDelay(4 * time.Second)
	first := make(chan frontend.Response, 1)
	go func() { first <- serve(h, frontend.Submit, prefix+id, key, 3*time.Second) }()
	time.Sleep(100 * time.Millisecond) // The first request is sent alone.
	const refusedWithin = 1200 * time.Millisecond
	began := time.Now()
	refused := 0
	for i := 0; time.Since(began) < 2*time.Second; i++ {
		sent := time.Now()
		resp := serve(h, frontend.Submit, fmt.Sprintf("%s%016x", prefix, i), key, 3*time.Second)
		require.Equal(t, frontend.NotExecuted, resp.Outcome)
		require.Positive(t, resp.RetryAfter)
		require.Less(t, time.Since(sent), refusedWithin)
		if time.Since(sent) < 20*time.Millisecond {
			refused++
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Greater(t, refused, 10, "once the store is known to be unavailable, requests are refused without a wait")
	resp := <-first
	assert.Equal(t, frontend.Indeterminate, resp.Outcome, "the first request was sent and its outcome is unknown")
	s.store.SetDelay(0)
	require.Eventually(t, func() bool {
		return serve(h, frontend.Submit, prefix+id, key, time.Second).Outcome == frontend.Recorded
	},
		3*time.Second, 20*time.Millisecond)
}

// A job whose acceptance exceeds a record must be refused at once: the store would refuse it together with
// the records of other callers.
func TestJobThatExceedsARecordIsRefused(t *testing.T) {
	s := newTestSystem(t)
	s.configure(key)
	s.adjust = func(h *frontend.Host) { h.MaxRecordBytes = 100 }
	h, _, _ := s.startHost("host")
	s.waitReady(h)
	r := serve(h, frontend.Submit, prefix+id, key, time.Second)
	assert.Equal(t, frontend.TooLarge, r.Outcome)
	assert.Contains(t, r.Message, "at most 100")
}
