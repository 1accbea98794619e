// Package crowd runs an entry host as a real process and sends it requests from many
// clients that exceed the limits.
package crowd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
	"github.com/limpetrelay/limpetrelay/platform"
	"github.com/limpetrelay/limpetrelay/standin/emulator"
)

// binary is the path of the program that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "limpetrelay")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "limpetrelay")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/limpetrelay").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	// memoryMB is the setting limits.memory_mb, the bound of the process's resident memory.
	memoryMB = 128
	// reservedDescriptors is the part of limits.max_fds that is reserved for files.
	reservedDescriptors = 200
	bodyBytes           = 262_144
	headerBytes         = 16_384
	jobBody             = `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":10}]}`
)

// host is an entry host with an emulated store and two workers.
type host struct {
	t                       *testing.T
	callers, ready, metrics string
	cmd                     *exec.Cmd
	exited                  chan error
	workers                 *simulation.WorkerPool
	maxDescriptors          int
	// mostOpenFiles is the largest number of descriptors seen.
	mostOpenFiles atomic.Int64
}

func startHost(t *testing.T, maxDescriptors int) *host {
	h := &host{t: t, maxDescriptors: maxDescriptors, exited: make(chan error, 1)}
	h.workers = simulation.NewWorkerPool(simulation.Scenario{Seed: 1, Workers: 2})
	s := &emulator.Store{}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	configuration, err := json.Marshal(map[string]any{
		"version": 1, "services": []map[string]any{{"name": "service", "rejects_overload": true}},
		"routes": []map[string]any{{"name": "batch", "host": "crowd.example", "path_prefix": "/batch/", "service": "service",
			"priority": 2, "max_attempts": 4, "stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000}},
		"tenants": []map[string]any{{"name": "crew", "keys": []string{"key-a"}, "guaranteed": 1}},
		"limits":  map[string]any{"header_bytes": headerBytes, "body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
	})
	require.NoError(t, err)
	s.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration)
	h.runEvery(5*time.Millisecond, h.workers.Advance)
	for _, id := range h.workers.IDs() {
		l := emulator.NewLink(h.workers, id, 1, nil)
		t.Cleanup(l.Close)
		h.runEvery(1500*time.Millisecond, func() { _ = l.Heartbeat(s) })
	}
	// The port of the metrics is fixed, therefore each process has a loopback address of its own.
	ip := fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, os.Getpid()/250%250)
	h.callers, h.ready, h.metrics = freeAddress(t, ip), freeAddress(t, ip), net.JoinHostPort(ip, "9464")
	dir := t.TempDir()
	settings := filepath.Join(dir, "node.conf")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil,
		"node=front-0\nzone=dc\nregion=r\nlisten_addrs.front=%s\nlisten_addrs.ready=%s\nip=%s\nplatform.address=%s\nlimits.memory_mb=%d\nlimits.max_fds=%d\n",
		h.callers, h.ready, ip, server.Listener.Addr(), memoryMB, maxDescriptors), 0o600))
	log, err := os.Create(filepath.Join(dir, "front.log"))
	require.NoError(t, err)
	h.cmd = exec.Command(binary, "front", "--settings", settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	require.NoError(t, h.cmd.Start())
	go func() { h.exited <- h.cmd.Wait() }()
	t.Cleanup(func() {
		_ = h.cmd.Process.Kill()
		t.Log("the process has ended:", <-h.exited)
		_ = log.Close()
	})
	require.Eventually(t, h.isReady, 20*time.Second, 50*time.Millisecond, "the host did not become ready")
	h.runEvery(20*time.Millisecond, h.countOpenFiles)
	return h
}

// runEvery calls do at once and then at interval d until the test ends.
func (h *host) runEvery(d time.Duration, do func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			do()
			select {
			case <-time.After(d):
			case <-stop:
				return
			}
		}
	}()
	h.t.Cleanup(func() {
		close(stop)
		<-done
	})
}

func freeAddress(t *testing.T, ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// countOpenFiles records the largest number of open descriptors of the process.
func (h *host) countOpenFiles() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	if err == nil {
		h.mostOpenFiles.Store(max(h.mostOpenFiles.Load(), int64(len(entries))))
	}
}

func (h *host) isReady() bool {
	res, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

// submit submits a job and reports whether it was accepted.
func (h *host) submit(id string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/batch/"+id, strings.NewReader(jobBody))
	require.NoError(h.t, err)
	req.Host = "crowd.example"
	req.Header.Set("Credential", "key-a")
	res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

// addJob makes a job known to the workers, which run its tasks for runTime milliseconds.
func (h *host) addJob(id, text string, runTime int64) {
	spec, err := platform.DecodeJob([]byte(text))
	require.NoError(h.t, err)
	spec.ID, spec.MaxAttempts = id, 4
	h.workers.AddJob(&jobspec.Spec{ID: id, MaxAttempts: 4, Steps: spec.Steps}, runTime, false)
}

// check requires that the process lives within its bounds and serves an ordinary caller.
func (h *host) check() {
	h.t.Helper()
	const id = "00000000000000ff"
	h.addJob(id, jobBody, 10)
	require.Eventually(h.t, func() bool { return h.submit(id) }, 20*time.Second, 100*time.Millisecond, "an ordinary request is not answered")
	require.Eventually(h.t, h.isReady, 20*time.Second, 100*time.Millisecond, "the readiness check fails")
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	require.NoError(h.t, err)
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	require.NotNil(h.t, m, "the process has exited")
	peak, err := strconv.Atoi(string(m[1]))
	require.NoError(h.t, err)
	h.t.Logf("peak memory %d MB, %d open descriptors", peak>>10, h.mostOpenFiles.Load())
	require.Empty(h.t, h.exited, "the process has exited")
	require.Less(h.t, peak>>10, memoryMB, "resident memory in MB")
	require.Less(h.t, h.mostOpenFiles.Load(), int64(h.maxDescriptors-reservedDescriptors), "open descriptors")
}
