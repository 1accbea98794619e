package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/limpetrelay/limpetrelay/platform"
	"github.com/limpetrelay/limpetrelay/standin/emulator"
)

// bounds are the settings of a small deployment, which all hosts share.
const bounds = `region=region-a
zones.zone-a=region-a
class=front
role=front
serves=front
bootstrap=true
limits.cpu_quota=0.4
limits.cpu_cores=1
limits.max_fds=4100
limits.net_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing
bounds.contact_ms=4000
bounds.ack_timeout_ms=5000
bounds.drain_ms=2500
bounds.grace_period_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2500
bounds.strict_revoke=true
bounds.revoke_timeout_ms=5000
bounds.recovery_s=12
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
bounds.fencing_enforced=true
bounds.lease_ttl_ms=3000
commands=request
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
`

// memoryMB is the memory of the entry hosts of the small deployments, in megabytes.
const memoryMB = 284

// hostCount and workerCount are the sizes of the deployment.
const (
	hostCount   = 3
	workerCount = 4
)

// site is a small deployment: a store, workers and entry hosts, all on loopback.
type site struct {
	log     *record
	dir     string
	store   *emulator.Store
	workers []*worker
	hosts   []*host
	stop    chan struct{}
	version int
	// memory is that of each host, in megabytes.
	memory int
}

// host is a process of the program under review.
type host struct {
	name, settings, callers, ready string
	cmd                            *exec.Cmd
	exited                         chan struct{}
}

// newSite starts a deployment whose first configuration is config.
func newSite(log *record, memory int, config func(version int) map[string]any) (*site, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &site{log: log, dir: dir, memory: memory, store: &emulator.Store{}, stop: make(chan struct{})}
	s.publish(config)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	server := &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: longestWait}
	go func() { _ = server.Serve(l) }()
	for i := range workerCount {
		w := newWorker(fmt.Sprintf("i-%08x", i+1), fmt.Sprintf("r1-%d", i/2), log)
		s.workers = append(s.workers, w)
		if err := w.serve(s.store, s.stop); err != nil {
			return s, err
		}
	}
	for i := range hostCount {
		if err := s.addHost(i, l.Addr().String()); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

// publish writes the next configuration, and returns when the store has confirmed it.
func (s *site) publish(config func(version int) map[string]any) time.Time {
	s.version += 3
	s.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, encode(config(s.version)))
	s.log.writef("operator: configuration %d confirmed", s.version)
	return time.Now()
}

// freeAddress returns a free port of a loopback address that is the host's own.
func freeAddress(n int) (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, pid/250%250, 1+n))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (s *site) addHost(n int, store string) error {
	callers, err := freeAddress(n)
	if err != nil {
		return err
	}
	ready, err := freeAddress(n)
	if err != nil {
		return err
	}
	h := &host{name: fmt.Sprintf("front-a-%d", n+1), callers: callers, ready: ready}
	h.settings = filepath.Join(s.dir, h.name+".conf")
	text := fmt.Sprintf("node=%s\nzone=zone-a\nlisten_addrs.front=%s\nlisten_addrs.ready=%s\nplatform.address=%s\nlimits.memory_mb=%d\n", h.name, callers, ready, store, s.memory)
	if err := os.WriteFile(h.settings, []byte(text+bounds), 0o600); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	return h.start(filepath.Join(s.dir, h.name+".log"))
}

// processes holds the processes that were started, so that an interrupt ends them.
var processes struct {
	sync.Mutex
	list []*os.Process
}

// killHosts kills all processes that were started.
func killHosts() {
	processes.Lock()
	defer processes.Unlock()
	for _, p := range processes.list {
		_ = p.Kill()
	}
}

// start starts the process with the command of the deploy file.
func (h *host) start(logFile string) error {
	f, err := os.Create(logFile)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/limpetrelay", "front")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settings)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return err
	}
	processes.Lock()
	processes.list = append(processes.list, cmd.Process)
	processes.Unlock()
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	h.cmd, h.exited = cmd, exited
	return nil
}

// awaitReady waits until all hosts are ready and a worker was polled.
func (s *site) awaitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range s.hosts {
			if status, _, err := call(http.MethodGet, h.ready, "/ready", "", "", nil); err == nil && status == http.StatusOK {
				ready++
			}
		}
		held := 0
		for _, w := range s.workers {
			w.mu.Lock()
			if w.token > 0 {
				held++
			}
			w.mu.Unlock()
		}
		if ready == len(s.hosts) && held == len(s.workers) {
			s.log.writef("all hosts are ready")
			return nil
		}
	}
	return errors.New("the hosts are not ready")
}

// close ends all processes that the site has started.
func (s *site) close() {
	for _, h := range s.hosts {
		if h.cmd == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.exited
	}
	close(s.stop)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// killAll kills all processes at the same time, and starts them again.
func (s *site) killAll() error {
	s.log.writef("all processes of the system are killed")
	for _, h := range s.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		<-h.exited
	}
	time.Sleep(500 * time.Millisecond)
	s.log.writef("all processes of the system start again")
	for _, h := range s.hosts {
		if err := h.start(h.settings + ".2.log"); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// call makes one HTTP call.
func call(method, address, path, hostName, key string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = hostName
	if key != "" {
		r.Header.Set("Credential", key)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Timeout-Ms", strconv.Itoa(3000))
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// client is a client of one entry host.
type client struct {
	*site
	host *host
	key  string
}

// call makes a call and records it.
func (c *client) call(method, path string, body []byte) (status int, text string) {
	c.log.writef("client: %s %s with key %q to %s: sent", method, path, c.key, c.host.name)
	status, text, err := call(method, c.host.callers, path, "site.example", c.key, body)
	if err != nil {
		text = err.Error()
	}
	c.log.writef("client: %s %s with key %q to %s: answered %d %s", method, path, c.key, c.host.name, status, text)
	return status, text
}

// route returns a route of the configuration.
func route(name, prefix string, public bool) map[string]any {
	return map[string]any{
		"name": name, "host": "site.example", "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 3000, "priority": 1,
		"service": "service", "max_attempts": 3, "stretch_factor": 3.0, "public": public,
	}
}

// configuration returns a configuration with a private and a public queue.
func configuration(version int, tenants ...map[string]any) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   []any{route("r-private", "/private/", false), route("r-public", "/public/", true)},
		"services": []any{map[string]any{"name": "service", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "spare": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

// tenant returns a tenant of the configuration.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "keys": keys, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}
}

// job returns a job whose steps follow each other and have one subtask each, which takes ms.
func job(ms, steps int) []byte {
	var list []any
	for i := range steps {
		s := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": ms}
		if i > 0 {
			s["after"] = []int{i - 1}
		}
		list = append(list, s)
	}
	return encode(map[string]any{"spec": fmt.Sprint("run-ms:", ms), "steps": list})
}
