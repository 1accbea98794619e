package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/limpetrelay/limpetrelay/standin/emulator"
)

const (
	service = "svc"
	zone    = "dc"
	key     = "key-1"
	queue   = "queue.example"
	prefix  = "/jobs/"
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// readyTimeout bounds the time until all hosts are ready.
	readyTimeout = 15 * time.Second
)

// cluster is a small installation on loopback and the record of what happens in it.
type cluster struct {
	store   *emulator.Store
	address string
	folder  string
	hosts   []*host
	workers []*worker
	// plan returns how long a run works, 0 for ever, and how it ends.
	plan func(task string, number int) (time.Duration, string)
	// checkpointBytes is the length of a checkpoint.
	checkpointBytes int
	// onEnd, if set, is called at the end of a run, with a lock held.
	onEnd func(e end)

	began  time.Time
	mu     sync.Mutex
	out    *os.File
	jobs   map[string][]step
	starts []started
	ends   []ended
}

// step is the part of a step of a job that workers need.
type step struct {
	need              resources
	persistent, saves bool
}

// started is a start that a worker has carried out.
type started struct {
	worker, task string
	run          int
	at           time.Time
}

// ended is an end of a run. notedAt is when it was taken note of; zero if it was not.
type ended struct {
	end
	worker  string
	notedAt time.Time
}

// host is a process of the system.
type host struct {
	name, front, ready, settings string
	cmd                          *exec.Cmd
}

// newCluster starts the store and writes the configuration. Its record goes to a file.
func newCluster(record string) (*cluster, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "limpetrelay-review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		store: &emulator.Store{}, address: l.Addr().String(), folder: folder, began: time.Now(), out: out, jobs: make(map[string][]step), checkpointBytes: 16,
	}
	c.store.SetDelay(storeDelay)
	go func() {
		s := &http.Server{Handler: limitRecords(c.store.Handler()), ReadHeaderTimeout: time.Minute}
		_ = s.Serve(l)
	}()
	conf, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-1", "host": queue, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 1200,
			"priority": 1, "service": service, "max_attempts": 3, "stretch_factor": 3.0, "public": false,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "spare": false,
		}},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "keys": []string{key}, "priority": 1, "guaranteed": map[string]any{"gpu": 8}}},
	})
	if err != nil {
		return nil, err
	}
	c.store.Put("keyed.op", "config", conf)
	return c, nil
}

const (
	// recordBytes and callBytes bound a record of an append and all its records.
	recordBytes = 262_144
	callBytes   = 2_097_152
)

// limitRecords refuses appends whose records are too large.
func limitRecords(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/log-append" {
			next.ServeHTTP(w, r)
			return
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		large := len(b) > callBytes
		for rest := b; len(rest) >= 4; {
			n := int(binary.BigEndian.Uint32(rest))
			large = large || n > recordBytes
			rest = rest[min(len(rest), 4+n):]
		}
		if large {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		next.ServeHTTP(w, r)
	})
}

// addWorkers starts n workers with the capacity and labels given.
func (c *cluster) addWorkers(n int, capacity resources, labels ...string) error {
	for range n {
		w, err := newWorker(c, fmt.Sprintf("i-%08x", 0x7f3a91c2+len(c.workers)), capacity, labels...)
		if err != nil {
			return err
		}
		c.workers = append(c.workers, w)
		c.notef("worker %s at %s has labels %v", w.id, w.address, w.labels)
	}
	return nil
}

// hostCount is the number of hosts.
const hostCount = 3

// startHosts starts the hosts and waits until all are ready.
func (c *cluster) startHosts() error {
	for i := range hostCount {
		h, err := c.newHost(i)
		if err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
		if err := h.run(c.folder); err != nil {
			return err
		}
		c.notef("host %s started, callers at %s", h.name, h.front)
	}
	for _, h := range c.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	c.notef("all hosts are ready")
	return nil
}

// freePort returns a free port of a loopback address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// newHost writes the settings of a host.
func (c *cluster) newHost(i int) (*host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
	var ports [3]string
	for n := range ports {
		var err error
		if ports[n], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), front: ports[0], ready: ports[1]}
	h.settings = filepath.Join(c.folder, h.name+".conf")
	return h, os.WriteFile(h.settings, []byte(fmt.Sprintf(settingsText, h.name, ip, h.front, h.ready, ports[2], c.address)), 0o600)
}

// run starts the process with the command of the deploy file.
func (h *host) run(folder string) error {
	out, err := os.OpenFile(filepath.Join(folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/limpetrelay", "front")
	h.cmd.Env = append(os.Environ(), "LIMPETRELAY_BOOT="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	return h.cmd.Start()
}

func (h *host) awaitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + h.ready + "/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready", h.name)
}

// killHosts kills the processes of all hosts.
func (c *cluster) killHosts() {
	for _, h := range c.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
	c.notef("all hosts are killed")
}

// restartHosts starts the processes of all hosts again and waits until they are ready.
func (c *cluster) restartHosts() error {
	for _, h := range c.hosts {
		if err := h.run(c.folder); err != nil {
			return err
		}
	}
	for _, h := range c.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	c.notef("all hosts are ready again")
	return nil
}

// close ends all processes and workers.
func (c *cluster) close() {
	for _, h := range c.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, h := range c.hosts {
		h.await()
	}
	for _, w := range c.workers {
		w.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
	_ = c.out.Close()
}

// await waits for the end of a process, and kills it after 8 s.
func (h *host) await() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	t := time.AfterFunc(8*time.Second, func() { _ = h.cmd.Process.Kill() })
	defer t.Stop()
	_ = h.cmd.Wait()
}

// notef writes a line to the record, with the time since the start in milliseconds.
func (c *cluster) notef(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linef(format, args...)
}

func (c *cluster) linef(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, "%7d %s\n", time.Since(c.began).Milliseconds(), fmt.Sprintf(format, args...))
}

// started, finished and noted record a start, an end and that an end was taken note of.
func (c *cluster) started(w *worker, r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, started{w.id, r.task, r.number, r.startedAt})
	c.linef("run %s %d starts on %s", r.task, r.number, w.id)
}

func (c *cluster) finished(w *worker, e end) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, ended{end: e, worker: w.id})
	c.linef("run %s %d ends on %s: %s, end %d", e.task, e.run, w.id, e.how, e.number)
	if c.onEnd != nil {
		c.onEnd(e)
	}
}

func (c *cluster) noted(w *worker, e end) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.ends {
		if c.ends[i].worker == w.id && c.ends[i].number == e.number {
			c.ends[i].notedAt = time.Now()
		}
	}
	c.linef("end %d of %s is taken note of", e.number, w.id)
}

// part returns what a worker needs to know of a step of a job.
func (c *cluster) part(id string, index int) (s step, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	steps := c.jobs[id]
	if index >= len(steps) {
		return s, false
	}
	return steps[index], true
}

// checkpointTime is the work between two checkpoints.
const checkpointTime = time.Second

// checkpoint returns the last checkpoint of a run; empty for none. It has checkpointBytes bytes.
func (c *cluster) checkpoint(r *run) string {
	n := r.work() / checkpointTime
	if !r.saves || n == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", int(n), strings.Repeat("7a21d94b", c.checkpointBytes/8-1))
}

// savedWork returns the work that is saved in a checkpoint.
func (c *cluster) savedWork(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	n, err := strconv.ParseUint(checkpoint[:8], 16, 32)
	if err != nil {
		return 0
	}
	return time.Duration(n) * checkpointTime
}

// history returns copies of all starts and ends so far.
func (c *cluster) history() ([]started, []ended) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.starts), slices.Clone(c.ends)
}

// stepBody is a step as a client sends it.
type stepBody map[string]any

// newID returns the ID of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in at a host over a channel of its own and returns the status.
func (c *cluster) submit(h *host, id string, steps ...stepBody) int {
	c.mu.Lock()
	c.jobs[id] = nil
	for _, s := range steps {
		persistent, _ := s["persistent"].(bool)
		saves, _ := s["saves_progress"].(bool)
		c.jobs[id] = append(c.jobs[id], step{resources{amount(s["cpu"]), amount(s["mem_mb"]), amount(s["gpu"])}, persistent, saves})
	}
	c.mu.Unlock()
	status, _ := c.call(http.MethodPost, h, id, map[string]any{"spec": "spec of " + id, "steps": steps})
	return status
}

func amount(v any) int64 {
	n, ok := v.(int)
	if !ok {
		return 0
	}
	return int64(n)
}

// call makes a client's call and returns the status, 0 for no answer, and the body.
func (c *cluster) call(method string, h *host, id string, body any) (int, map[string]any) {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	r, err := http.NewRequest(method, "http://"+h.front+prefix+id, bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	r.Host = queue
	r.Header["Credential"], r.Header["Timeout-Ms"] = []string{key}, []string{"3000"}
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	sent := time.Now()
	res, err := client.Do(r)
	if err != nil {
		c.notef("%s %s at %s: no answer: %v", method, id, h.name, err)
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		c.notef("%s %s at %s: no whole answer: %v", method, id, h.name, err)
		return 0, nil
	}
	c.notef("%s %s at %s: %d %s after %d ms", method, id, h.name, res.StatusCode, strings.TrimSpace(string(text)), time.Since(sent).Milliseconds())
	var out map[string]any
	if json.Unmarshal(text, &out) != nil {
		return res.StatusCode, nil
	}
	return res.StatusCode, out
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// settingsText is the settings file of a host.
const settingsText = `node=%s
role=front
class=front
serves=front
ip=%s
zone=dc
region=region-1
zones.dc=region-1
listen_addrs.front=%s
listen_addrs.ready=%s
listen_addrs.control=%s
bootstrap=true
limits.cpu_quota=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.net_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1500
bounds.contact_ms=4000
bounds.ack_timeout_ms=5000
bounds.drain_ms=2500
bounds.grace_period_s=6
bounds.config_apply_ms=2500
bounds.strict_revoke=true
bounds.revoke_timeout_ms=5000
bounds.max_hold_ms=10000
bounds.stop_timeout_ms=400
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=3
bounds.checkpoint_s=1
bounds.restore_timeout_ms=100
bounds.preempt_notice_ms=5500
bounds.lease_ttl_ms=3000
commands=request
platform.address=%s
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
`
