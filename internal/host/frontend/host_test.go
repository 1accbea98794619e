package frontend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// site is a store and the hosts on it.
type site struct {
	t       *testing.T
	store   *emulator.Store
	address string
	version int
}

func newSite(t *testing.T) *site {
	s := &site{t: t, store: &emulator.Store{}}
	server := httptest.NewServer(s.store.Handler())
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// configure writes the next version with the given keys.
func (s *site) configure(keys ...string) {
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

// host starts a host; stop ends it at once. The host's clock runs ahead by skip
// milliseconds, as after a freeze.
func (s *site) host(name string) (h *frontend.Host, skip *atomic.Int64, stop func()) {
	return s.hostAs(name, name+"-1")
}

// hostAs starts a host with an incarnation.
func (s *site) hostAs(name, incarnation string) (h *frontend.Host, skip *atomic.Int64, stop func()) {
	c := platform.NewHTTPClient()
	w := platform.WorkerClient{Client: c}
	skip = &atomic.Int64{}
	began := time.Now()
	h = &frontend.Host{
		Settings:    hostconfig.Settings{Host: name, Revocation: 5000, MaxLease: 10_000, CallBytes: 1 << 20, CoreShare: 1},
		Incarnation: incarnation, Logger: slog.New(slog.DiscardHandler),
		Dependencies: frontend.Dependencies{
			Store: platform.NewStore(c, s.address),
			Topics: frontend.Topics{
				Configuration: platform.TopicConfiguration, Workers: platform.TopicWorkers, Status: platform.TopicStatus,
				Jobs: platform.TopicJobs, Details: platform.TopicDetails, ConfigurationKey: platform.KeyConfiguration,
			},
			DecodeConfiguration: platform.DecodeConfiguration, DecodeWorker: platform.DecodeWorker,
			Start: w.Start, Stop: w.Stop, Poll: w.Poll,
			Monotonic: func() int64 { return time.Since(began).Milliseconds() + 100_000 + skip.Load() },
		},
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
	return h, skip, stop
}

func (s *site) ready(h *frontend.Host) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { ok, _ := h.Ready(); return ok }, 5*time.Second, 5*time.Millisecond)
}

// call makes a call; the job has one task.
func call(h *frontend.Host, v frontend.Verb, path, k string, timeout time.Duration) frontend.Response {
	return h.Serve(context.Background(), &frontend.Request{
		Verb: v, Host: queue, Path: path, Key: k, Timeout: timeout, ValidID: platform.ValidID,
		Decode: func(int) (jobspec.Spec, error) {
			return platform.DecodeJob([]byte(`{"spec":"x","steps":[{"count":1,"cpu":1000,"est_ms":500}]}`))
		},
	})
}

// Claims at the same end look like repeats of one call to the store; still only one
// host may hold the role.
func TestOneHostHoldsTheRole(t *testing.T) {
	s := newSite(t)
	s.configure(key)
	hosts := map[*frontend.Host]func(){}
	for i := range 5 {
		h, _, stop := s.host(fmt.Sprint("host", i))
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
	s := newSite(t)
	h, _, _ := s.host("host")
	assert.Equal(t, frontend.NotExecuted, call(h, frontend.Submit, prefix+id, key, time.Second).Outcome, "before the configuration")
	s.configure(key)
	s.ready(h)
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
		assert.Equal(t, c.want, call(h, c.verb, c.path, c.key, time.Second).Outcome, c.name)
	}
	require.Eventually(t, func() bool { return call(h, frontend.Query, prefix+id, key, time.Second).State == jobspec.Queued },
		time.Second, 5*time.Millisecond)
	assert.Equal(t, 1, call(h, frontend.Query, prefix, key, time.Second).Queued)
	other := frontend.Request{
		Verb: frontend.Submit, Host: queue, Path: prefix + id, Key: key, ValidID: platform.ValidID,
		Decode: func(int) (jobspec.Spec, error) {
			return platform.DecodeJob([]byte(`{"spec":"y","steps":[{"count":1}]}`))
		},
	}
	assert.Equal(t, frontend.IDReused, h.Serve(context.Background(), &other).Outcome)
	assert.Equal(t, frontend.Recorded, call(h, frontend.Cancel, prefix+id, key, time.Second).Outcome)
}

func TestWithdrawnKey(t *testing.T) {
	s := newSite(t)
	s.configure(key, "key-b")
	h, _, _ := s.host("host")
	s.ready(h)
	assert.Equal(t, frontend.UnknownJob, call(h, frontend.Query, prefix+id, "key-b", time.Second).Outcome)
	s.configure(key)
	require.Eventually(t, func() bool {
		return call(h, frontend.Query, prefix+id, "key-b", time.Second).Outcome == frontend.UnknownKey
	},
		2*time.Second, 5*time.Millisecond)
}

// A host that was frozen, or is cut off, does not trust what it knows.
func TestFrozenHostServesNothingOnOldKnowledge(t *testing.T) {
	s := newSite(t)
	s.configure(key)
	h, skip, _ := s.host("host")
	s.ready(h)
	s.store.SetDown(true)
	skip.Add(4000)
	assert.Equal(t, frontend.NotExecuted, call(h, frontend.Query, prefix+id, key, time.Second).Outcome, "an old book denies no job")
	assert.Equal(t, frontend.NotExecuted, call(h, frontend.Query, prefix+id, "other", time.Second).Outcome, "an old configuration denies no key")
	skip.Add(1000)
	a := call(h, frontend.Submit, prefix+id, key, time.Second)
	assert.Equal(t, frontend.NotExecuted, a.Outcome, "a key does not count on an old proof")
	assert.Positive(t, a.RetryAfter)
	s.store.SetDown(false)
	require.Eventually(t, func() bool { return call(h, frontend.Submit, prefix+id, key, time.Second).Outcome == frontend.Recorded },
		5*time.Second, 20*time.Millisecond)
}

// An append whose answer is lost may be in the store, so the request is not refused.
func TestLostAnswerIsNoRefusal(t *testing.T) {
	s := newSite(t)
	s.configure(key)
	h, _, _ := s.host("host")
	s.ready(h)
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	s.store.SetLossRate(1)
	a := call(h, frontend.Submit, prefix+id, key, 300*time.Millisecond)
	assert.Equal(t, frontend.Indeterminate, a.Outcome)
	s.store.SetLossRate(0)
	require.Eventually(t, func() bool { return call(h, frontend.Submit, prefix+id, key, time.Second).Outcome == frontend.Recorded },
		5*time.Second, 20*time.Millisecond)
	assert.Equal(t, frontend.StateReported, call(h, frontend.Query, prefix+id, key, time.Second).Outcome)
}

// A store that refuses is told from one that does not answer: nothing was done.
func TestStoreDownIsRefusedAtOnce(t *testing.T) {
	s := newSite(t)
	s.configure(key)
	h, _, _ := s.host("host")
	s.ready(h)
	s.store.SetDown(true)
	began := time.Now()
	a := call(h, frontend.Submit, prefix+id, key, 3*time.Second)
	assert.Equal(t, frontend.NotExecuted, a.Outcome)
	assert.Positive(t, a.RetryAfter)
	assert.Less(t, time.Since(began), 1500*time.Millisecond)
	assert.Contains(t, a.Message, "nothing was done")
}

// Dropped history is made up for by the newest records.
func TestForgottenHistory(t *testing.T) {
	s := newSite(t)
	s.configure(key)
	h, _, _ := s.host("host")
	s.ready(h)
	require.Equal(t, frontend.Recorded, call(h, frontend.Submit, prefix+id, key, time.Second).Outcome)
	s.store.DropHistory(platform.TopicJobs)
	s.store.DropHistory(platform.TopicConfiguration)
	late, _, _ := s.host("late")
	s.ready(late)
	require.Eventually(t, func() bool {
		return call(late, frontend.Query, prefix+id, key, time.Second).Outcome == frontend.StateReported
	},
		3*time.Second, 5*time.Millisecond)
}

// A host that starts while nobody writes is ready at once, and takes its own role back.
func TestRestartedCoordinatorLosesNoTime(t *testing.T) {
	s := newSite(t)
	s.configure(key)
	h, _, stop := s.host("host")
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	stop()
	began := time.Now()
	again, _, _ := s.host("host")
	s.ready(again)
	assert.Less(t, time.Since(began), 500*time.Millisecond)
	require.Eventually(t, again.IsLeader, 5*time.Second, time.Millisecond)
	assert.Less(t, time.Since(began), time.Second)
}

// Only the host itself knows that its last process has ended; it tells the others, so
// that they need not wait for leases that it might renew.
func TestDepartureIsRecorded(t *testing.T) {
	s := newSite(t)
	s.configure(key)
	h, _, stop := s.host("host")
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	s.store.SetDown(true) // The role is not handed over.
	stop()
	s.store.SetDown(false)
	departed := func() bool { return s.store.Newest(platform.TopicJobs, "d") != nil }
	_, _, stopOther := s.host("other")
	time.Sleep(200 * time.Millisecond)
	assert.False(t, departed(), "another host cannot know")
	stopOther()
	h, _, _ = s.hostAs("host", "host-2")
	s.ready(h)
	require.Eventually(t, departed, 5*time.Second, 5*time.Millisecond)
}

// Requests that come while the store does not answer are refused at once, with nothing
// sent, so that their callers may come again; they are served as soon as it is back.
func TestSilentStoreRefusesAtOnce(t *testing.T) {
	s := newSite(t)
	s.configure(key)
	h, _, _ := s.host("host")
	s.ready(h)
	require.Eventually(t, h.IsLeader, 5*time.Second, time.Millisecond)
	s.store.SetDelay(4 * time.Second)
	first := make(chan frontend.Response, 1)
	go func() { first <- call(h, frontend.Submit, prefix+id, key, 3*time.Second) }()
	time.Sleep(100 * time.Millisecond) // The first request is sent alone.
	const refusedWithin = 1200 * time.Millisecond
	began := time.Now()
	refused := 0
	for i := 0; time.Since(began) < 2*time.Second; i++ {
		asked := time.Now()
		a := call(h, frontend.Submit, fmt.Sprintf("%s%016x", prefix, i), key, 3*time.Second)
		require.Equal(t, frontend.NotExecuted, a.Outcome)
		require.Positive(t, a.RetryAfter)
		require.Less(t, time.Since(asked), refusedWithin)
		if time.Since(asked) < 20*time.Millisecond {
			refused++
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Greater(t, refused, 10, "once the store is known to be away nobody waits")
	a := <-first
	assert.Equal(t, frontend.Indeterminate, a.Outcome, "the first request was sent and its fate is not known")
	s.store.SetDelay(0)
	require.Eventually(t, func() bool { return call(h, frontend.Submit, prefix+id, key, time.Second).Outcome == frontend.Recorded },
		3*time.Second, 20*time.Millisecond)
}
