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

// body returns a submission.
func body(extra string, w standin.TaskSpec, wait int) string {
	return fmt.Sprintf(`{"organisation":"skimworks","class":"c","wait":%d,"payload":%s%s}`, wait, base64JSON(w.Payload()), extra)
}

// pool is the balancer's list of hosts.
type pool struct {
	mu        sync.Mutex
	addresses []string
}

// pick returns one address after the other.
func (p *pool) pick(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[n%len(p.addresses)]
}

// replace puts one address in the place of another.
func (p *pool) replace(old, by string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[slices.Index(p.addresses, old)] = by
}

// balance sends a request to the hosts in turn, as the platform's balancer
// would, until one answers that does not refuse with "nothing was done". It
// returns false when an answer is cut.
func (c *cluster) balance(hosts *pool, method, path, body string) (answer, bool) {
	for try := range 100 {
		req, err := http.NewRequest(method, "http://"+hosts.pick(try)+path, strings.NewReader(body))
		if err != nil {
			return answer{}, false
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			if strings.Contains(err.Error(), "dial ") {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			c.t.Logf("%s %s: %v", method, path, err)
			return answer{}, false
		}
		var a answer
		err = json.NewDecoder(res.Body).Decode(&a)
		_ = res.Body.Close()
		if err != nil {
			c.t.Logf("%s %s: cut: %v", method, path, err)
			return answer{}, false
		}
		a.Status = res.StatusCode
		if a.Error.Kind != "draining" && a.Error.Kind != "unavailable" {
			return a, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return answer{}, false
}

// TestTermUnderLoad ends hosts with TERM, one after the other, and starts new
// ones, while callers send requests through a balancer. None is lost.
func TestTermUnderLoad(t *testing.T) {
	c := smallCluster(t)
	c.addHost("e3")
	hosts := &pool{}
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
				a, ok := c.balance(hosts, http.MethodPost, "/v1/jobs", body(extra, standin.TaskSpec{RunTime: 150, Echo: echo}, 8000))
				for ok && a.Job != "" && a.result() == "" {
					a, ok = c.balance(hosts, http.MethodGet, "/v1/jobs/"+a.Job+"?wait=5000", "")
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
		case err := <-p.ended:
			require.NoError(t, err, "%s ended with an error", n)
			p.ended <- nil
		case <-time.After(15 * time.Second):
			require.Fail(t, n+" does not end")
		}
		c.addHost("new-" + n)
		hosts.replace(p.address, c.hosts["new-"+n].address)
	}
	stop.Store(true)
	wg.Wait()
	t.Logf("%d served, %d lost", served.Load(), lost.Load())
	require.Zero(t, lost.Load())
}

// history returns what a worker has run.
func (c *cluster) history(worker string) []standin.Interval {
	c.t.Helper()
	res, err := http.Get("http://" + c.workers[worker].address + "/history")
	require.NoError(c.t, err)
	defer func() { _ = res.Body.Close() }()
	var is []standin.Interval
	require.NoError(c.t, decode(res.Body, &is))
	return is
}

// runs returns how often echo has run.
func (c *cluster) runs(echo string) int {
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

// TestKillNine kills a host, and then every host, with a once-only request
// open. Its key tells the truth at a new host.
func TestKillNine(t *testing.T) {
	c := smallCluster(t)
	once := body(`,"once":true,"key":"lease-9"`, standin.TaskSpec{RunTime: 4000, Echo: "billed"}, 0)
	a := c.call("e1", http.MethodPost, "/v1/jobs", once)
	require.Equal(t, http.StatusAccepted, a.Status, "%+v", a)
	c.eventually("it runs", func() bool { return c.runs("billed") == 1 })
	c.hosts["e1"].kill()
	time.Sleep(500 * time.Millisecond)
	c.hosts["e2"].kill()
	c.addHost("e3")
	b := c.call("e3", http.MethodPost, "/v1/jobs", body(`,"once":true,"key":"lease-9"`, standin.TaskSpec{RunTime: 4000, Echo: "billed"}, 20000))
	if b.Error.Kind == "keyReused" {
		require.Fail(t, "the same request is taken for another")
	}
	require.Equal(t, a.Job, b.Job)
	require.Equal(t, "completed", b.result(), "%+v %s", b, b.Outcome)
	require.Equal(t, 1, c.runs("billed"))
}

// TestStopAndContinue stops the placer's process for longer than its lease on
// the role and continues it. There is one placer, and the work goes on.
func TestStopAndContinue(t *testing.T) {
	c := smallCluster(t)
	a := c.call("e1", http.MethodPost, "/v1/jobs", body(`,"members":2,"accelerators":8,"key":"g"`, standin.TaskSpec{RunTime: 9000, Echo: "g"}, 0))
	c.eventually("the gang runs", func() bool { return c.runs("g") == 2 })
	placer, other := "e1", "e2"
	if !c.view("e1").Placer {
		placer, other = other, placer
	}
	require.NoError(t, c.hosts[placer].cmd.Process.Signal(syscall.SIGSTOP))
	c.eventually("another host places", func() bool { return c.view(other).Placer })
	require.NoError(t, c.hosts[placer].cmd.Process.Signal(syscall.SIGCONT))
	c.eventually("the old placer gives way", func() bool { return !c.view(placer).Placer })
	b := c.call(placer, http.MethodGet, "/v1/jobs/"+a.Job+"?wait=20000", "")
	require.Equal(t, "completed", b.result(), "%+v", b)
	require.Equal(t, 2, c.runs("g"), "the gang ran again")
}

// hostView is the part of /readyz that the tests look at.
type hostView struct{ Placer, Ready bool }

// view returns a host's view.
func (c *cluster) view(host string) hostView {
	cl := http.Client{Timeout: time.Second}
	res, err := cl.Get("http://" + c.hosts[host].address + "/readyz")
	if err != nil {
		return hostView{}
	}
	defer func() { _ = res.Body.Close() }()
	var v hostView
	_ = decode(res.Body, &v)
	return v
}

// TestSilentConnections makes every open connection to a worker silent for
// good while requests run over them.
func TestSilentConnections(t *testing.T) {
	c := newCluster(t)
	c.addWorker("w1", "gulf-a", "r1")
	k := newLink(t, c.workers["w1"].address)
	c.list(logservice.Host{Name: "w1", Kind: logservice.KindWorker, DataCentre: "gulf-a", Address: k.address()})
	c.addHost("e1")
	c.eventually("the worker is live", func() bool { return c.live("e1") == 1 })
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
			a := c.call("e1", http.MethodPost, "/v1/jobs", body(extra, standin.TaskSpec{RunTime: 1500, Echo: echo}, 30000))
			if a.result() != "completed" || string(a.Output) != echo {
				t.Errorf("%s: %+v %s", echo, a, a.Outcome)
			}
			if i%2 == 0 && c.runs(echo) != 1 {
				t.Errorf("%s ran %d times", echo, c.runs(echo))
			}
		}()
	}
	time.Sleep(700 * time.Millisecond)
	t.Logf("silenced %d connections", k.silence())
	wg.Wait()
}
