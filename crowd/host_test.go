// Package crowd runs entry hosts as real processes and sends them requests from many
// clients that exceed the limits.
package crowd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
	// memoryMB is the setting limits.memory_mb, the bound of the process's memory.
	memoryMB = 128
	// reservedDescriptors is the part of limits.max_fds that is reserved for files.
	reservedDescriptors = 200
	// hostName is the name that the requests state.
	hostName    = "crowd.example"
	bodyBytes   = 262_144
	headerBytes = 16_384
	jobBody     = `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":10}]}`
)

// host is an entry host that runs as a process.
type host struct {
	t *testing.T
	// callers, ready, metrics and peers are the addresses on which it listens; empty if there is none.
	callers, ready, metrics, peers string
	readyPath                      string
	cmd                            *exec.Cmd
	exited                         chan error
	// workers is nil for a host that runs `limpetrelay serve`.
	workers                  *simulation.WorkerPool
	memoryMB, maxDescriptors int
	// submit submits an ordinary job and reports whether it was accepted, and whether another
	// host is answered.
	submit func(id string) bool
	// mostOpenFiles is the largest number of descriptors seen, and mostMemory that of the bytes
	// of the process with what the kernel's queues hold for its connections.
	mostOpenFiles, mostMemory atomic.Int64
}

// deployment is an emulated store with two workers.
type deployment struct {
	t       *testing.T
	store   *emulator.Store
	address string
	workers *simulation.WorkerPool
}

func newDeployment(t *testing.T) *deployment {
	s := &emulator.Store{}
	d := &deployment{t: t, store: s, workers: simulation.NewWorkerPool(simulation.Scenario{Seed: 1, Workers: 2})}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	d.address = server.Listener.Addr().String()
	configuration, err := json.Marshal(map[string]any{
		"version": 1, "services": []map[string]any{{"name": "service", "rejects_overload": true}},
		"routes": []map[string]any{{"name": "batch", "host": hostName, "path_prefix": "/batch/", "service": "service",
			"priority": 2, "max_attempts": 4, "stretch_factor": 3, "slo_ms": 500, "timeout_ms": 3000}},
		"tenants": []map[string]any{{"name": "crew", "keys": []string{"key-a"}, "guaranteed": 1}},
		"limits":  map[string]any{"header_bytes": headerBytes, "body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
	})
	require.NoError(t, err)
	s.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration)
	runEvery(t, 5*time.Millisecond, d.workers.Advance)
	for _, id := range d.workers.IDs() {
		l := emulator.NewLink(d.workers, id, 1, nil)
		t.Cleanup(l.Close)
		runEvery(t, 1500*time.Millisecond, func() { _ = l.Heartbeat(s) })
	}
	return d
}

// start starts the n-th host, with `limpetrelay front`.
func (d *deployment) start(n, memoryMB, maxDescriptors int) *host {
	t, ip := d.t, loopbackIP(n)
	h := &host{t: t, workers: d.workers, memoryMB: memoryMB, maxDescriptors: maxDescriptors, readyPath: "/ready"}
	h.callers, h.ready, h.metrics = freeAddress(t, ip), freeAddress(t, ip), net.JoinHostPort(ip, "9464")
	h.submit = func(id string) bool {
		return h.post("/batch/"+id, jobBody, http.Header{"Credential": {"key-a"}}) == http.StatusOK
	}
	h.start(fmt.Sprintf(
		"node=front-%d\nzone=dc\nregion=r\nlisten_addrs.front=%s\nlisten_addrs.ready=%s\nip=%s\nplatform.address=%s\nlimits.memory_mb=%d\nlimits.max_fds=%d\n",
		n, h.callers, h.ready, ip, d.address, memoryMB, maxDescriptors), "front")
	return h
}

func startHost(t *testing.T, maxDescriptors int) *host {
	return newDeployment(t).start(1, memoryMB, maxDescriptors)
}

// loopbackIP returns the address of the n-th host. The port of the metrics is fixed, therefore
// each host of each process has an address of its own.
func loopbackIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, os.Getpid()/250%250, n)
}

// start starts the process and waits until it is ready.
func (h *host) start(settings string, args ...string) {
	t, dir := h.t, h.t.TempDir()
	file := filepath.Join(dir, "settings")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	require.NoError(t, err)
	h.exited = make(chan error, 1)
	h.cmd = exec.Command(binary, append(args, "--settings", file)...)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	require.NoError(t, h.cmd.Start())
	go func() { h.exited <- h.cmd.Wait() }()
	t.Cleanup(func() {
		_ = h.cmd.Process.Kill()
		t.Log("the process has ended:", <-h.exited)
		_ = log.Close()
	})
	require.Eventually(t, h.isReady, 20*time.Second, 50*time.Millisecond, "the host did not become ready")
	runEvery(t, 20*time.Millisecond, h.measure)
}

// runEvery calls do at once and then at interval d until the test ends.
func runEvery(t *testing.T, d time.Duration, do func()) {
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
	t.Cleanup(func() {
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

// measure records the largest number of open descriptors, and of bytes.
func (h *host) measure() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	if err == nil {
		h.mostOpenFiles.Store(max(h.mostOpenFiles.Load(), int64(len(entries))))
	}
	// There are no such lines once the process has exited.
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if m := memoryLines.FindSubmatch(status); m != nil {
		peak, _ := strconv.ParseInt(string(m[1]), 10, 64)
		resident, _ := strconv.ParseInt(string(m[2]), 10, 64)
		h.mostMemory.Store(max(h.mostMemory.Load(), peak<<10, resident<<10+queuedBytes(h.t, h.callers)))
	}
}

// memoryLines matches the peak and the present size of a process's memory in its status, in kB.
var memoryLines = regexp.MustCompile(`VmHWM:\s+(\d+) kB\nVmRSS:\s+(\d+) kB`)

// queuedBytes returns how many bytes the kernel's queues hold for the connections from the IP
// number of address.
func queuedBytes(t *testing.T, address string) int64 {
	a, err := netip.ParseAddrPort(address)
	require.NoError(t, err)
	ip := a.Addr().As4()
	own := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	table, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	var sum int64
	for line := range strings.Lines(string(table)) {
		// The fields are the number, the local and the remote address, the state, 0A for a
		// listening socket, and the sizes of the queues for sending and for receiving.
		if f := strings.Fields(line); strings.HasPrefix(f[1], own) && f[3] != "0A" {
			var sent, received int64
			_, err := fmt.Sscanf(f[4], "%x:%x", &sent, &received)
			require.NoError(t, err)
			sum += sent + received
		}
	}
	return sum
}

func (h *host) isReady() bool {
	res, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.ready + h.readyPath)
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

// post sends a request and returns the status of the response, or 0 if there is none.
func (h *host) post(path, body string, header http.Header) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+path, strings.NewReader(body))
	require.NoError(h.t, err)
	req.Host, req.Header = hostName, header
	res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil || res.Body.Close() != nil {
		return 0
	}
	return res.StatusCode
}

// addJobs makes jobs with the same text known to the workers, which run their tasks for runTime
// milliseconds.
func (h *host) addJobs(text string, runTime int64, ids ...string) {
	if h.workers == nil {
		return
	}
	spec, err := platform.DecodeJob([]byte(text))
	require.NoError(h.t, err)
	for _, id := range ids {
		h.workers.AddJob(&jobspec.Spec{ID: id, MaxAttempts: 4, Steps: spec.Steps}, runTime, false)
	}
}

// ordinaryID returns the ID of the job of an ordinary caller of the host.
func (h *host) ordinaryID() string { return fmt.Sprintf("%016x", h.cmd.Process.Pid) }

// check requires that the process lives within its bounds and serves an ordinary caller.
func (h *host) check() {
	h.t.Helper()
	id := h.ordinaryID()
	h.addJobs(jobBody, 10, id)
	require.Eventually(h.t, func() bool { return h.submit(id) }, 20*time.Second, 100*time.Millisecond, "an ordinary request is not answered")
	require.Eventually(h.t, h.isReady, 20*time.Second, 100*time.Millisecond, "the readiness check fails")
	h.measure()
	require.Empty(h.t, h.exited, "the process has exited")
	h.checkBounds()
}

// checkBounds requires that the process has stayed within its bounds.
func (h *host) checkBounds() {
	h.t.Helper()
	h.t.Logf("peak memory %d MB, %d open descriptors", h.mostMemory.Load()>>20, h.mostOpenFiles.Load())
	require.Less(h.t, h.mostMemory.Load()>>20, int64(h.memoryMB), "memory in MB")
	require.Less(h.t, h.mostOpenFiles.Load(), int64(h.maxDescriptors-reservedDescriptors), "open descriptors")
}
