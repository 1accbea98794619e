package soak

import (
	"bytes"
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

// binary is the path of the program that TestMain builds.
var binary string

// host is an entry host that runs as a separate process.
type host struct {
	name, settingsFile string
	number             int
	// Both addresses change when a new machine takes the host's place.
	callersAddress, readyAddress string
	storeProxy                   *proxy
	logFile                      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// starts counts the processes.
	starts int
	// restarting serialises restarts.
	restarting sync.Mutex
	// failed is set when a process has ended without a signal.
	failed bool
	// exited holds the exit error of the process once it has ended. Receivers put it
	// back for the next one.
	exited chan error
}

// cluster consists of an emulated platform with simulated workers, and of entry
// hosts that run as processes.
type cluster struct {
	t       *testing.T
	workers *simulation.WorkerPool
	links   []*emulator.Link
	// logDir has the logs: a folder of the test's name in the one that SOAK_LOGS names, if any.
	logDir string
	// workerLog has what the workers did; nil unless SOAK_LOGS is set.
	workerLog *os.File
	store     *emulator.Store
	hosts     []*host
	// keys are those of the organisation crew, some of which are revoked.
	keys []string
	// settings are the settings of the hosts besides their names and addresses.
	settings string

	mu      sync.Mutex
	version int
	// revokedAt holds the time of revocation by API key.
	revokedAt map[string]time.Time
}

// heartbeat is the time between two entries of a worker in the directory.
const heartbeat = 1500 * time.Millisecond

// hostSettings are the settings that all hosts share.
const hostSettings = "limits.memory_mb=284\nbounds.status_s=600\nbounds.revoke_timeout_ms=5000\nbounds.gang_ms=3000\nbounds.remote_factor=3\n"

func newCluster(t *testing.T, p simulation.Scenario, hosts int) *cluster {
	c := &cluster{t: t, store: &emulator.Store{}, keys: []string{"key-a", "key-b", "key-c"}, revokedAt: make(map[string]time.Time)}
	c.settings = hostSettings
	if p.DataCentres > 0 {
		c.settings += evacuationSettings
	}
	dir := t.TempDir()
	c.logDir = dir
	if logs := os.Getenv("SOAK_LOGS"); logs != "" {
		c.logDir = filepath.Join(logs, t.Name())
		require.NoError(t, os.MkdirAll(c.logDir, 0o750))
		var err error
		c.workerLog, err = os.Create(filepath.Join(c.logDir, "workers.log"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.workerLog.Close() })
	}
	p.Trace = c.trace
	c.workers = simulation.NewWorkerPool(p)
	store := httptest.NewServer(c.store.Handler())
	t.Cleanup(store.Close)
	c.publishConfiguration()
	for i, id := range c.workers.IDs() {
		l := emulator.NewLink(c.workers, id, p.Seed+uint64(i)<<32, c.trace)
		t.Cleanup(l.Close)
		c.links = append(c.links, l)
		c.runEvery(heartbeat, func(int) {
			if err := l.Heartbeat(c.store); err != nil {
				t.Error(err)
			}
		})
	}
	c.runEvery(5*time.Millisecond, func(int) { c.workers.Advance() })
	for i := range hosts {
		c.addHost(dir, i, store.Listener.Addr().String())
	}
	return c
}

// runEvery calls do at once and then at interval d until the test ends. n counts
// the calls from 1.
func (c *cluster) runEvery(d time.Duration, do func(n int)) {
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
	c.t.Cleanup(func() {
		close(stop)
		<-done
	})
}

// trace writes a line to the log of the workers.
func (c *cluster) trace(line string) {
	if c.workerLog != nil {
		// Lines arrive from several goroutines; each is one write.
		_, _ = fmt.Fprintf(c.workerLog, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), line)
	}
}

// coordinator returns the host that the newest claim in the store names, or nil.
func (c *cluster) coordinator() *host {
	claim := c.store.Newest(platform.TopicJobs, "l")
	var found *host
	first := len(claim)
	for _, h := range c.hosts {
		// The holder stands before its predecessors.
		if i := bytes.Index(claim, []byte(h.name)); i >= 0 && i < first {
			found, first = h, i
		}
	}
	return found
}

// publishConfiguration writes the next version of the configuration, with the API
// keys that are not revoked.
func (c *cluster) publishConfiguration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	var keys []string
	for _, k := range c.keys {
		if c.revokedAt[k].IsZero() {
			keys = append(keys, k)
		}
	}
	cfg := map[string]any{
		"version": c.version,
		"routes": []map[string]any{
			{"name": "urgent", "host": "soak.example", "path_prefix": "/urgent/", "service": "service", "priority": 0,
				"max_attempts": 4, "stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000},
			{"name": "plan", "host": "soak.example", "path_prefix": "/plan/", "service": "service", "priority": 1,
				"max_attempts": 4, "stretch_factor": 3, "slo_ms": 1200, "timeout_ms": 3000},
			{"name": "batch", "host": "soak.example", "path_prefix": "/batch/", "service": "service", "priority": 2,
				"max_attempts": 4, "stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000},
			{"name": "open", "host": "soak.example", "path_prefix": publicPrefix, "service": "service", "priority": 2, "public": true,
				"max_attempts": 4, "stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000},
			{"name": fmt.Sprint("idle", c.version), "host": "idle.example", "path_prefix": "/", "service": "service",
				"max_attempts": 4, "stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000},
		},
		"services": []map[string]any{{"name": "service", "rejects_overload": true}},
		"tenants": []map[string]any{
			{"name": "crew", "keys": keys, "guaranteed": 16}, {"name": "guild", "keys": []string{rivalKey}, "guaranteed": 8},
		},
		"limits": map[string]any{"body_bytes": 65536},
	}
	b, err := json.Marshal(cfg)
	require.NoError(c.t, err)
	c.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, b)
}

// revokeKey revokes an API key and publishes the configuration. It returns false when
// the key is revoked already or is the last valid one. The time of revocation counts
// from after the publication.
func (c *cluster) revokeKey(key string) bool {
	c.mu.Lock()
	if len(c.revokedAt) >= len(c.keys)-1 || !c.revokedAt[key].IsZero() {
		c.mu.Unlock()
		return false
	}
	c.revokedAt[key] = time.Now()
	c.mu.Unlock()
	c.publishConfiguration()
	c.mu.Lock()
	c.revokedAt[key] = time.Now()
	c.mu.Unlock()
	return true
}

// timeSinceRevocation returns the time from the revocation of an API key until at, or
// zero when it is not revoked.
func (c *cluster) timeSinceRevocation(key string, at time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.revokedAt[key]; !r.IsZero() {
		return at.Sub(r)
	}
	return 0
}

// freeAddress returns a free port of the n-th host, which has a loopback address of its own:
// the ports of 127.0.0.1 are also taken by outgoing connections.
func freeAddress(t *testing.T, n int) string {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, pid/250%250, 1+n))
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// addHost writes the settings of an entry host and starts it. The host reaches the
// store through a proxy of its own.
func (c *cluster) addHost(dir string, n int, storeAddress string) {
	p, err := newProxy(storeAddress)
	require.NoError(c.t, err)
	h := &host{
		name: fmt.Sprint("front-", n), number: n, callersAddress: freeAddress(c.t, n), readyAddress: freeAddress(c.t, n), storeProxy: p,
		settingsFile: filepath.Join(dir, fmt.Sprint("node", n, ".conf")),
	}
	require.NoError(c.t, h.writeSettings(h.name, c.settings))
	h.logFile, err = os.Create(filepath.Join(c.logDir, h.name+".log"))
	require.NoError(c.t, err)
	c.hosts = append(c.hosts, h)
	require.NoError(c.t, h.start())
	c.t.Cleanup(func() {
		h.signal(syscall.SIGCONT)
		h.stop(syscall.SIGKILL)
		p.close()
		_ = h.logFile.Close()
	})
}

// writeSettings writes the settings of the host as the machine of that name.
func (h *host) writeSettings(name, settings string) error {
	text := fmt.Sprintf("node=%s\nzone=dc\nregion=r\nlisten_addrs.front=%s\nlisten_addrs.ready=%s\nplatform.address=%s\n",
		name, h.callersAddress, h.readyAddress, h.storeProxy.address()) + settings
	return os.WriteFile(h.settingsFile, []byte(text), 0o600)
}

// replace kills the process for good. After d a machine of another name takes its place at
// other addresses.
func (h *host) replace(c *cluster, d time.Duration) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.stop(syscall.SIGKILL)
	time.Sleep(d)
	h.mu.Lock()
	h.callersAddress, h.readyAddress = freeAddress(c.t, h.number), freeAddress(c.t, h.number)
	err := h.writeSettings(fmt.Sprint(h.name, "-", h.starts), c.settings)
	h.mu.Unlock()
	if err == nil {
		err = h.start()
	}
	if err != nil {
		c.t.Errorf("%s is not replaced: %v", h.name, err)
	}
}

// callers returns the address for callers.
func (h *host) callers() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.callersAddress
}

// start starts a new process of the host.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	program := binary
	// The hosts of the other version are every second one, and change with each restart.
	if h.starts++; *oldFlag != "" && (h.number+h.starts)%2 == 0 {
		program = *oldFlag
	}
	h.cmd = exec.Command(program, "front", "--settings", h.settingsFile)
	h.cmd.Stdout, h.cmd.Stderr = h.logFile, h.logFile
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan error, 1), h.cmd
	h.exited = exited
	go func() { exited <- cmd.Wait() }()
	return nil
}

// signal sends a signal to the latest process of the host.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// stop sends a signal to the process and waits for it to exit. Like the platform,
// it kills the process after terminationGracePeriod.
func (h *host) stop(s syscall.Signal) {
	h.failed = h.failed || len(h.exited) > 0
	h.signal(s)
	select {
	case err := <-h.exited:
		h.exited <- err
	case <-time.After(terminationGracePeriod):
		h.signal(syscall.SIGKILL)
		err := <-h.exited
		h.exited <- err
	}
}

// terminationGracePeriod is the time between the first signal and SIGKILL.
const terminationGracePeriod = 6 * time.Second

// isReady reports whether the readiness probe of the balancer succeeds.
func (h *host) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	res, err := c.Get("http://" + h.readyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
