package crowd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
	"github.com/limpetrelay/limpetrelay/platform"
	"github.com/limpetrelay/limpetrelay/standin/emulator"
)

const (
	bodyBytes   = 262_144
	headerBytes = 16_384
	jobBody     = `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":10}]}`
)

// deployment is an emulated store with two workers.
type deployment struct {
	t       *testing.T
	store   *emulator.Store
	address string
	workers *simulation.WorkerPool
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, store: &emulator.Store{}, workers: simulation.NewWorkerPool(simulation.Scenario{Seed: 1, Workers: 2})}
	server := httptest.NewServer(d.store.Handler())
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
	d.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration)
	runEvery(t, 5*time.Millisecond, d.workers.Advance)
	for _, id := range d.workers.IDs() {
		l := emulator.NewLink(d.workers, id, 1, nil)
		t.Cleanup(l.Close)
		runEvery(t, 1500*time.Millisecond, func() { _ = l.Heartbeat(d.store) })
	}
	return d
}

// start starts the n-th host, with `limpetrelay front`.
func (d *deployment) start(n, memory, maxDescriptors int) *host {
	ip := loopbackIP(n)
	h := &host{t: d.t, workers: d.workers, memoryMB: memory, maxDescriptors: maxDescriptors, readyPath: "/ready"}
	h.callers, h.ready, h.metrics = freeAddress(d.t, ip), freeAddress(d.t, ip), net.JoinHostPort(ip, "9464")
	h.submit = func(id string) bool {
		return post("http://"+h.callers+"/batch/"+id, jobBody, http.Header{"Credential": {"key-a"}})
	}
	h.start(fmt.Sprintf("node=front-%d\nzone=dc\nregion=r\nlisten_addrs.front=%s\nlisten_addrs.ready=%s\nip=%s\nplatform.address=%s\nlimits.memory_mb=%d\nlimits.max_fds=%d\n",
		n, h.callers, h.ready, ip, d.address, memory, maxDescriptors), "front")
	return h
}

func startHost(t *testing.T, maxDescriptors int) *host {
	return newDeployment(t).start(1, memoryMB, maxDescriptors)
}
