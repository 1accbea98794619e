package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
	"github.com/limpetrelay/limpetrelay/platform"
	"github.com/limpetrelay/limpetrelay/standin/emulator"
)

// binary is where TestMain has built the program.
var binary string

// host is an entry host as a process of its own.
type host struct {
	name, front, ready, settings string
	store                        *proxy
	log                          *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// restarting is held while the process is ended and started again.
	restarting sync.Mutex
	ended      chan error
}

// world is the platform's stand-ins and the entry hosts.
type world struct {
	t     *testing.T
	yard  *simulation.WorkerPool
	store *emulator.Store
	hosts []*host
	keys  []string

	mu      sync.Mutex
	version int
	// revoked has when keys were taken away.
	revoked map[string]time.Time
}

func newWorld(t *testing.T, seed uint64, hosts, workers int) *world {
	w := &world{
		t: t, store: &emulator.Store{}, yard: simulation.NewWorkerPool(simulation.Scenario{Seed: seed, Workers: workers}),
		keys: []string{"key-a", "key-b", "key-c"}, revoked: make(map[string]time.Time),
	}
	store := httptest.NewServer(w.store.Handler())
	t.Cleanup(store.Close)
	w.configure()
	for _, id := range w.yard.IDs() {
		s := httptest.NewServer(emulator.WorkerHandler(w.yard, id))
		t.Cleanup(s.Close)
		w.beat(id, s.Listener.Addr().String())
	}
	w.every(5*time.Millisecond, func(int) { w.yard.Advance() })
	dir := t.TempDir()
	for i := range hosts {
		w.addHost(dir, i, store.Listener.Addr().String())
	}
	return w
}

// every calls do until the test ends.
func (w *world) every(d time.Duration, do func(n int)) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(d)
		defer t.Stop()
		for n := 1; ; n++ {
			do(n)
			select {
			case <-t.C:
			case <-stop:
				return
			}
		}
	}()
	w.t.Cleanup(func() {
		close(stop)
		<-done
	})
}

// beat writes a worker's entry as long as it is up.
func (w *world) beat(id, address string) {
	w.every(500*time.Millisecond, func(n int) {
		l, up := w.yard.Listing(id)
		if !up {
			w.store.Put(platform.TopicWorkers, id, nil)
			return
		}
		l.Address = address
		b, err := emulator.DirectoryEntry(l, n)
		if err != nil {
			w.t.Error(err)
			return
		}
		w.store.Put(platform.TopicWorkers, id, b)
	})
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	var keys []string
	for _, k := range w.keys {
		if w.revoked[k].IsZero() {
			keys = append(keys, k)
		}
	}
	c := map[string]any{
		"version": w.version,
		"routes": []map[string]any{
			{"name": "urgent", "host": "soak.example", "path_prefix": "/urgent/", "service": "service", "priority": 0,
				"max_attempts": 4, "stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000},
			{"name": "batch", "host": "soak.example", "path_prefix": "/batch/", "service": "service", "priority": 2,
				"max_attempts": 4, "stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000},
			{"name": fmt.Sprint("idle", w.version), "host": "idle.example", "path_prefix": "/", "service": "service",
				"max_attempts": 4, "stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000},
		},
		"services": []map[string]any{{"name": "service", "rejects_overload": true}},
		"tenants":  []map[string]any{{"name": "crew", "keys": keys, "guaranteed": 16}},
		"limits":   map[string]any{"body_bytes": 65536},
	}
	b, err := json.Marshal(c)
	require.NoError(w.t, err)
	w.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, b)
}

// revoke takes a key away, and returns false when too few are left.
func (w *world) revoke(key string) bool {
	w.mu.Lock()
	if len(w.revoked) >= len(w.keys)-1 || !w.revoked[key].IsZero() {
		w.mu.Unlock()
		return false
	}
	w.revoked[key] = time.Now()
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	w.revoked[key] = time.Now()
	w.mu.Unlock()
	return true
}

// revokedFor returns how long ago a key was taken away, or zero.
func (w *world) revokedFor(key string, at time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.revoked[key]; !r.IsZero() {
		return at.Sub(r)
	}
	return 0
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// addHost writes a host's settings and starts it.
func (w *world) addHost(dir string, n int, store string) {
	p, err := newProxy(store)
	require.NoError(w.t, err)
	h := &host{
		name: fmt.Sprint("front-", n), front: freeAddress(w.t), ready: freeAddress(w.t), store: p,
		settings: filepath.Join(dir, fmt.Sprint("node", n, ".conf")),
	}
	text := fmt.Sprintf("node=%s\nzone=dc\nregion=r\nlisten_addrs.front=%s\nlisten_addrs.ready=%s\nplatform.address=%s\n"+
		"limits.memory_mb=284\nbounds.revoke_timeout_ms=5000\nbounds.gang_ms=3000\nbounds.remote_factor=3\n",
		h.name, h.front, h.ready, p.address())
	require.NoError(w.t, os.WriteFile(h.settings, []byte(text), 0o600))
	logDir := os.Getenv("SOAK_LOGS")
	if logDir == "" {
		logDir = dir
	}
	h.log, err = os.Create(filepath.Join(logDir, h.name+".log"))
	require.NoError(w.t, err)
	w.hosts = append(w.hosts, h)
	require.NoError(w.t, h.start())
	w.t.Cleanup(func() {
		h.signal(syscall.SIGCONT)
		h.stop(syscall.SIGKILL)
		p.close()
		_ = h.log.Close()
	})
}

// start starts the process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command(binary, "front", "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan error, 1), h.cmd
	h.ended = ended
	go func() { ended <- cmd.Wait() }()
	return nil
}

// signal sends a signal to the process that was started last.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// stop ends the process with a signal and waits for its end, at most as long as the
// platform does.
func (h *host) stop(s syscall.Signal) {
	h.signal(s)
	select {
	case err := <-h.ended:
		h.ended <- err
	case <-time.After(grace):
		h.signal(syscall.SIGKILL)
		err := <-h.ended
		h.ended <- err
	}
}

// grace is the time between the signals that ask for the end and force it.
const grace = 6 * time.Second

// isReady asks the host as the balancer does.
func (h *host) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	res, err := c.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
