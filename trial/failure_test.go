package trial

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/standin"
)

// submissionBody returns the body of a submission. extraFields is appended to the JSON
// fields and starts with a comma unless it is empty. wait is in milliseconds.
func submissionBody(extraFields string, w standin.TaskSpec, wait int) string {
	return fmt.Sprintf(`{"organisation":"skimworks","class":"c","wait":%d,"payload":%s%s}`, wait, base64JSON(w.Payload()), extraFields)
}

// balancerPool is the list of hosts that the balancer uses.
type balancerPool struct {
	mu        sync.Mutex
	addresses []string
}

// pick returns the address for attempt n, in round-robin order.
func (p *balancerPool) pick(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[n%len(p.addresses)]
}

// replace substitutes address by for address old, which must be in the pool.
func (p *balancerPool) replace(old, by string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[slices.Index(p.addresses, old)] = by
}

// callViaBalancer sends a request to the hosts round-robin, as the platform's balancer
// does. It tries the next host while connections are refused or responses are faults
// of kind draining or unavailable, which mean that nothing was done. It returns false
// when a response is truncated or after 100 attempts.
func (c *cluster) callViaBalancer(hosts *balancerPool, method, path, body string) (response, bool) {
	for attempt := range 100 {
		req, err := http.NewRequest(method, "http://"+hosts.pick(attempt)+path, strings.NewReader(body))
		if err != nil {
			return response{}, false
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			if strings.Contains(err.Error(), "dial ") {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			c.t.Logf("%s %s: %v", method, path, err)
			return response{}, false
		}
		var a response
		err = json.NewDecoder(res.Body).Decode(&a)
		_ = res.Body.Close()
		if err != nil {
			c.t.Logf("%s %s: cut: %v", method, path, err)
			return response{}, false
		}
		a.Status = res.StatusCode
		if a.Error.Kind != "draining" && a.Error.Kind != "unavailable" {
			return a, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return response{}, false
}

// TestTermUnderLoad replaces all hosts one by one, ending each with SIGTERM, while
// callers send requests through a balancer. It guards against requests that are lost
// while a host drains.
func TestTermUnderLoad(t *testing.T) {
	c := smallCluster(t)
	c.addHost("e3")
	hosts := &balancerPool{}
	for _, n := range []string{"e1", "e2", "e3"} {
		hosts.addresses = append(hosts.addresses, c.hosts[n].address)
	}
	var wg sync.WaitGroup
	var stop atomic.Bool
	var served, lost atomic.Int64
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; !stop.Load(); k++ {
				echo := fmt.Sprintf("t-%d-%d", i, k)
				extra := `,"runTime":150`
				if k%3 == 0 {
					extra += `,"key":"` + echo + `"`
				}
				a, ok := c.callViaBalancer(hosts, http.MethodPost, "/v1/jobs", submissionBody(extra, standin.TaskSpec{RunTime: 150, Echo: echo}, 8000))
				for ok && a.Job != "" && a.result() == "" {
					a, ok = c.callViaBalancer(hosts, http.MethodGet, "/v1/jobs/"+a.Job+"?wait=5000", "")
				}
				if ok && a.result() == "completed" && string(a.Output) == echo {
					served.Add(1)
				} else {
					lost.Add(1)
					t.Logf("%s: %t %+v %s", echo, ok, a, a.Outcome)
				}
			}
		}()
	}
	for _, n := range []string{"e1", "e2", "e3"} {
		time.Sleep(500 * time.Millisecond)
		p := c.hosts[n]
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		select {
		case err := <-p.exited:
			require.NoError(t, err, "%s exited with an error", n)
			p.exited <- nil
		case <-time.After(15 * time.Second):
			require.Fail(t, n+" did not exit")
		}
		c.addHost("new-" + n)
		hosts.replace(p.address, c.hosts["new-"+n].address)
	}
	stop.Store(true)
	wg.Wait()
	t.Logf("%d served, %d lost", served.Load(), lost.Load())
	require.Zero(t, lost.Load())
}

// history returns the intervals in which a worker ran tasks.
func (c *cluster) history(worker string) []standin.Interval {
	c.t.Helper()
	res, err := http.Get("http://" + c.workers[worker].address + "/history")
	require.NoError(c.t, err)
	defer func() { _ = res.Body.Close() }()
	var is []standin.Interval
	require.NoError(c.t, decode(res.Body, &is))
	return is
}

// countRuns returns how many times tasks with this echo ran on all workers.
func (c *cluster) countRuns(echo string) int {
	n := 0
	for w := range c.workers {
		for _, i := range c.history(w) {
			if i.Echo == echo {
				n++
			}
		}
	}
	return n
}

// TestKillNine kills both hosts with SIGKILL, one after the other, while an
// at-most-once request runs. It guards against a new host that does not recognise the
// request by its key, and so runs it again or does not return its outcome.
func TestKillNine(t *testing.T) {
	c := smallCluster(t)
	once := submissionBody(`,"once":true,"key":"lease-9"`, standin.TaskSpec{RunTime: 4000, Echo: "billed"}, 0)
	a := c.call("e1", http.MethodPost, "/v1/jobs", once)
	require.Equal(t, http.StatusAccepted, a.Status, "%+v", a)
	c.eventually("it runs", func() bool { return c.countRuns("billed") == 1 })
	c.hosts["e1"].kill()
	time.Sleep(500 * time.Millisecond)
	c.hosts["e2"].kill()
	c.addHost("e3")
	b := c.call("e3", http.MethodPost, "/v1/jobs", submissionBody(`,"once":true,"key":"lease-9"`, standin.TaskSpec{RunTime: 4000, Echo: "billed"}, 20000))
	if b.Error.Kind == "keyReused" {
		require.Fail(t, "the repeated request was treated as a different one")
	}
	require.Equal(t, a.Job, b.Job)
	require.Equal(t, "completed", b.result(), "%+v %s", b, b.Outcome)
	require.Equal(t, 1, c.countRuns("billed"))
}

// TestStopAndContinue suspends the placer's process until another host has replaced
// it, and then resumes it. It guards against two placers and against a second run of the
// gang that was running.
func TestStopAndContinue(t *testing.T) {
	c := smallCluster(t)
	a := c.call("e1", http.MethodPost, "/v1/jobs", submissionBody(`,"members":2,"accelerators":8,"key":"g"`, standin.TaskSpec{RunTime: 9000, Echo: "g"}, 0))
	c.eventually("the gang runs", func() bool { return c.countRuns("g") == 2 })
	placer, other := "e1", "e2"
	if !c.readiness("e1").Placer {
		placer, other = other, placer
	}
	require.NoError(t, c.hosts[placer].cmd.Process.Signal(syscall.SIGSTOP))
	c.eventually("another host becomes placer", func() bool { return c.readiness(other).Placer })
	require.NoError(t, c.hosts[placer].cmd.Process.Signal(syscall.SIGCONT))
	c.eventually("the old placer releases the role", func() bool { return !c.readiness(placer).Placer })
	b := c.call(placer, http.MethodGet, "/v1/jobs/"+a.Job+"?wait=20000", "")
	require.Equal(t, "completed", b.result(), "%+v", b)
	require.Equal(t, 2, c.countRuns("g"), "the gang must run only once")
}

// readyResponse is the part of the response of /readyz that the tests use.
type readyResponse struct{ Placer, Ready bool }

// readiness returns the readiness of a host, or the zero value when it does not
// respond within a second.
func (c *cluster) readiness(host string) readyResponse {
	cl := http.Client{Timeout: time.Second}
	res, err := cl.Get("http://" + c.hosts[host].address + "/readyz")
	if err != nil {
		return readyResponse{}
	}
	defer func() { _ = res.Body.Close() }()
	var v readyResponse
	_ = decode(res.Body, &v)
	return v
}

// TestSilentConnections drops all further data on the open connections to a worker
// while requests run over them, without closing them. It guards against requests that
// are lost, or run twice, when the network loses track of connections.
func TestSilentConnections(t *testing.T) {
	c := newCluster(t)
	c.addWorker("w1", "gulf-a", "r1")
	workerProxy := newProxy(t, c.workers["w1"].address)
	c.register(logservice.Host{Name: "w1", Kind: logservice.KindWorker, DataCentre: "gulf-a", Address: workerProxy.address()})
	c.addHost("e1")
	c.eventually("the worker is live", func() bool { return c.liveWorkers("e1") == 1 })
	a := c.call("e1", http.MethodPost, "/v1/config/patches", `{"base":0,"author":"op","changes":[{"setOrganisation":{"name":"skimworks"}}]}`)
	require.EqualValues(t, 1, a.Version, "%+v", a)
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			echo := fmt.Sprintf("s-%d", i)
			extra := `,"runTime":1500`
			if i%2 == 0 {
				extra = `,"once":true,"key":"` + echo + `"`
			}
			a := c.call("e1", http.MethodPost, "/v1/jobs", submissionBody(extra, standin.TaskSpec{RunTime: 1500, Echo: echo}, 30000))
			if a.result() != "completed" || string(a.Output) != echo {
				t.Errorf("%s: %+v %s", echo, a, a.Outcome)
			}
			if i%2 == 0 && c.countRuns(echo) != 1 {
				t.Errorf("%s ran %d times", echo, c.countRuns(echo))
			}
		}()
	}
	time.Sleep(700 * time.Millisecond)
	t.Logf("silenced %d connections", workerProxy.blackhole())
	wg.Wait()
}
