package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/limpetrelay/limpetrelay/platform"
	"github.com/limpetrelay/limpetrelay/standin/emulator"
)

const (
	serviceName = "service-a"
	hostName    = "jobs.example"
	// readyTimeout bounds the wait for the hosts, and settleTime is how long they run before
	// a case begins.
	readyTimeout = 20 * time.Second
	settleTime   = 5 * time.Second
	callTimeout  = 3 * time.Second
	// storeDelay is how long the store takes for an answer, according to SYSTEM.md.
	storeDelay = 4 * time.Millisecond
)

// shape is the size of a deployment. latency is the delay of a message between a host and
// a worker.
type shape struct {
	hosts, workers, rackSize int
	latency                  time.Duration
}

// deployment is a small deployment: the platform's store, workers, and entry hosts in
// processes of their own.
type deployment struct {
	*fleet
	store *emulator.Store
	hosts []*host
	// servers are the store's, one for each host, and the advisory service's.
	servers []*httptest.Server
	dir     string
	stopped chan struct{}
	wg      sync.WaitGroup
	// addSpare starts another host.
	addSpare func() error

	// adviceMu lets the advisory service handle one call at a time. permitted has the workers
	// that it allows.
	adviceMu  sync.Mutex
	permitted map[string]bool

	// leader is the host that was the last to write as the coordinator.
	leaderMu sync.Mutex
	leader   *host
}

// host is an entry host.
type host struct {
	name, callers, ready string
	cmd                  *exec.Cmd
}

// queues has the queues.
var queues = []struct {
	name     string
	priority int
	advised  bool
}{{name: "urgent", priority: 0}, {name: "plan", priority: 1}, {name: "batch", priority: 2}, {name: "advised", priority: 2, advised: true}}

// The tenants with their keys. Both together are guaranteed half of eight workers.
var tenants = []map[string]any{
	{"name": "tenant-a", "keys": []string{"key-a"}, "guaranteed": map[string]int{"gpu": 16}},
	{"name": "tenant-b", "keys": []string{"key-b"}, "guaranteed": map[string]int{"gpu": 16}},
}

func newDeployment(s shape, program string, rec *record) (*deployment, error) {
	d := &deployment{
		fleet: &fleet{rec: rec, jobs: make(map[string]*jobInfo), tickets: make(map[string]time.Time), ended: make(chan struct{})},
		store: &emulator.Store{}, stopped: make(chan struct{}),
	}
	var err error
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return d, err
	}
	d.store.SetDelay(storeDelay)
	if err := d.publishConfiguration(); err != nil {
		return d, err
	}
	for i := range s.workers {
		if err := d.addWorker(i, s); err != nil {
			return d, err
		}
	}
	advice := httptest.NewServer(http.HandlerFunc(d.advise))
	d.servers = append(d.servers, advice)
	d.every(tickTime, d.tick)
	d.every(heartbeat, d.publishEntries)
	if program, err = filepath.Abs(program); err != nil {
		return d, err
	}
	// All of 127.0.0.0/8 is loopback. Each host has an address of its own.
	network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	d.addSpare = func() error {
		n := len(d.hosts)
		return d.addHost(n, program, fmt.Sprint(network, n+1), advice.Listener.Addr().String())
	}
	for range s.hosts {
		if err := d.addSpare(); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// every calls do every interval until the deployment is closed.
func (d *deployment) every(interval time.Duration, do func()) {
	do()
	d.wg.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				do()
			case <-d.stopped:
				return
			}
		}
	})
}

func (d *deployment) addWorker(i int, s shape) error {
	w := &worker{fleet: d.fleet, id: fmt.Sprintf("i-%04d", i), rack: fmt.Sprintf("r1-%d", i/s.rackSize), latency: s.latency}
	if err := w.serve(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	w.boot()
	d.workers = append(d.workers, w)
	return nil
}

// publishEntries writes the entries of the workers that are not cut off.
func (d *deployment) publishEntries() {
	for _, w := range d.workers {
		if b := w.entry(); b != nil {
			d.store.Put(platform.TopicWorkers, w.id, b)
		}
	}
}

func (d *deployment) publishConfiguration() error {
	var routes []map[string]any
	for _, q := range queues {
		r := map[string]any{
			"name": q.name, "host": hostName, "path_prefix": "/" + q.name + "/", "kind": "non_idempotent", "service": serviceName,
			"priority": q.priority, "max_attempts": 4, "stretch_factor": 3.0, "slo_ms": 1200, "timeout_ms": 3000, "public": false,
		}
		if q.advised {
			r["advice"] = map[string]any{"decision_ms": decisionTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "validity_ms": ticketValidity.Milliseconds()}
		}
		routes = append(routes, r)
	}
	b, err := json.Marshal(map[string]any{
		"version": 7, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "rejects_overload": true, "spare": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	d.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, b)
	return nil
}

// settingsText has the settings of the site bayou-skim that do not depend on the host.
const settingsText = `role=front
class=front
serves=front
zone=zone-a
region=region-a
zones.zone-a=region-a
bootstrap=true
in_tolerance=false
limits.cpu_quota=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.net_mbps=1000.0
limits.disk_mb=0
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
bounds.recovery_s=12
bounds.max_hold_ms=10000
bounds.stop_timeout_ms=400
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=3
bounds.checkpoint_s=1
bounds.restore_timeout_ms=100
bounds.preempt_notice_ms=5500
bounds.lease_ttl_ms=3000
bounds.reclaim_ms=2900
commands=request
platform.form=log
platform.record_bytes=262144
platform.call_bytes=2097152
`

// addHost starts an entry host with the command of the deploy file. It reaches the store
// at an address of its own, which tells whose calls arrive there.
func (d *deployment) addHost(i int, program, ip, advice string) error {
	h := &host{name: fmt.Sprint("front-", i+1)}
	var err error
	if h.callers, err = freeAddress(ip); err != nil {
		return err
	}
	if h.ready, err = freeAddress(ip); err != nil {
		return err
	}
	server := httptest.NewServer(d.storeHandler(h))
	d.servers = append(d.servers, server)
	text := settingsText + fmt.Sprintf("node=%s\nip=%s\nlisten_addrs.front=%s\nlisten_addrs.ready=%s\nplatform.address=%s\nadvice=%s\n",
		h.name, ip, h.callers, h.ready, server.Listener.Addr(), advice)
	path := filepath.Join(d.dir, h.name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.cmd = exec.Command(program, "front")
	h.cmd.Env = append(os.Environ(), "LIMPETRELAY_BOOT="+path)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	d.rec.printf("host %s: process started", h.name)
	return log.Close()
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// storeHandler returns the store as the host h reaches it.
func (d *deployment) storeHandler(h *host) http.Handler {
	next := d.store.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if q.Get("producer") != "coordinator" || q.Get("topic") != platform.TopicJobs {
			next.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		next.ServeHTTP(answer, r)
		if answer.Code == http.StatusOK {
			d.appended(h)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

// appended notes who leads.
func (d *deployment) appended(h *host) {
	d.leaderMu.Lock()
	defer d.leaderMu.Unlock()
	if d.leader != h {
		d.rec.printf("host %s: writes as the coordinator", h.name)
		d.leader = h
	}
}

// currentLeader returns the host that was the last to write as the coordinator.
func (d *deployment) currentLeader() *host {
	d.leaderMu.Lock()
	defer d.leaderMu.Unlock()
	return d.leader
}

// awaitReady waits until all hosts are ready and one of them leads.
func (d *deployment) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := d.currentLeader() != nil
		for _, h := range d.hosts {
			ready = ready && h.isReady()
		}
		if ready {
			time.Sleep(settleTime)
			return nil
		}
	}
	return errors.New("the hosts are not ready")
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

// pause stops the host's process and waits until it stands still.
func (h *host) pause() error {
	if err := h.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	path := fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid)
	for range 200 {
		b, err := os.ReadFile(path)
		if err != nil {
			// Without the file, the stop is given time instead.
			time.Sleep(20 * time.Millisecond)
			return nil
		}
		if strings.Contains(string(b), ") T ") {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return errors.New("the process does not stop")
}

func (h *host) resume() error { return h.cmd.Process.Signal(syscall.SIGCONT) }

// call sends a request to a host. It returns status 0 if there is no complete answer.
func (d *deployment) call(h *host, method, queue, id, key string, body []byte) (int, map[string]any) {
	req, err := http.NewRequest(method, "http://"+h.callers+"/"+queue+"/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set("Credential", key)
	req.Header.Set("Timeout-Ms", "3000")
	c := http.Client{Timeout: callTimeout}
	res, err := c.Do(req)
	if err != nil {
		d.rec.printf("client: %s /%s/%s at %s: no answer: %v", method, queue, id, h.name, err)
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	var out map[string]any
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		out = nil
	}
	d.rec.printf("client: %s /%s/%s at %s: %d %v", method, queue, id, h.name, res.StatusCode, out)
	return res.StatusCode, out
}

// submit submits a job to a host and returns when it was accepted. Each step of the body
// must describe its subtasks for the workers too.
func (d *deployment) submit(h *host, queue, id, key string, steps []map[string]any, info []stepInfo) (time.Time, error) {
	d.mu.Lock()
	d.jobs[id] = &jobInfo{steps: info}
	d.mu.Unlock()
	b, err := json.Marshal(map[string]any{"spec": "work of " + id, "steps": steps})
	if err != nil {
		return time.Time{}, err
	}
	for range 5 {
		if status, _ := d.call(h, http.MethodPost, queue, id, key, b); status == http.StatusOK {
			return time.Now(), nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("job %s was not accepted", id)
}

// runsOf returns the runs of a job so far.
func (d *deployment) runsOf(id string) []*run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*run
	for _, r := range d.history {
		if strings.HasPrefix(r.task, id+".") {
			out = append(out, r)
		}
	}
	return out
}

// live returns how many runs of a job have not ended.
func (d *deployment) live(id string) int {
	n := 0
	for _, r := range d.runsOf(id) {
		if d.endOf(r).IsZero() {
			n++
		}
	}
	return n
}

// endOf returns when a run ended; zero if it goes on.
func (d *deployment) endOf(r *run) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.endedAt
}

// await waits until a condition holds.
func await(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}

// close ends all processes and servers. It keeps the hosts' logs if REVIEW_LOGS names a
// folder for them.
func (d *deployment) close() error {
	if d == nil {
		return nil
	}
	var errs []error
	for _, h := range d.hosts {
		// A process that has ended already is no error.
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
	close(d.stopped)
	d.wg.Wait()
	for _, w := range d.workers {
		errs = append(errs, w.server.Close())
	}
	for _, s := range d.servers {
		s.CloseClientConnections()
		_ = s.Config.Close()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		errs = append(errs, os.Rename(d.dir, keep))
		return errors.Join(errs...)
	}
	return errors.Join(append(errs, os.RemoveAll(d.dir))...)
}
