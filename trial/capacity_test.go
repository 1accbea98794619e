package trial

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/standin"
)

// The flags of TestCapacity. The defaults make a short run for CI.
var (
	capacitySizes = flag.String("capacity.sizes", "8", "numbers of workers, separated by commas")
	capacityFor   = flag.Duration("capacity.for", 2*time.Second, "how long a steady state is measured")
	capacityTasks = flag.Int("capacity.tasks", 4, "running tasks per worker")
)

// usage is what a process has used so far.
type usage struct {
	// cpu is processor time, in seconds, and rss resident memory, in MB.
	cpu, rss float64
	// bytes is keyed by metric.
	bytes map[string]float64
	at    time.Time
}

// usage reads what a host has used.
func (c *cluster) usage(host string) usage {
	c.t.Helper()
	p := c.hosts[host]
	u := usage{at: time.Now(), bytes: map[string]float64{}}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(c.t, err)
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	const ticksPerSecond, pageMB = 100.0, 4096.0 / (1 << 20)
	ut, _ := strconv.ParseFloat(f[11], 64)
	st, _ := strconv.ParseFloat(f[12], 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	u.cpu, u.rss = (ut+st)/ticksPerSecond, pages*pageMB
	res, err := http.Get("http://" + p.address + "/metrics")
	require.NoError(c.t, err)
	defer func() { _ = res.Body.Close() }()
	var m map[string]map[string]any
	require.NoError(c.t, decode(res.Body, &m))
	for name, v := range m {
		if n, ok := v["count"].(float64); ok && strings.HasPrefix(name, "bytes") {
			u.bytes[name] = n
		}
	}
	return u
}

// TestCapacity measures real processes that hold a data centre's state: the
// placer and a follower, idle but for control, at several sizes.
func TestCapacity(t *testing.T) {
	for _, size := range strings.Split(*capacitySizes, ",") {
		n, err := strconv.Atoi(size)
		require.NoError(t, err)
		t.Run(fmt.Sprintf("workers=%d", n), func(t *testing.T) { measureCapacity(t, n) })
	}
}

// measureCapacity measures one size.
func measureCapacity(t *testing.T, n int) {
	t.Helper()
	c := newCluster(t)
	c.start("workers", "", "standin", "workers", "--count", fmt.Sprint(n), "--data-centre", "gulf-a", "--platform", "http://"+c.platform.address)
	c.addHost("e1")
	c.addHost("e2")
	began := time.Now()
	require.Eventually(t, func() bool { return c.live("e1") == n && c.live("e2") == n }, 2*time.Minute, 100*time.Millisecond)
	t.Logf("%d workers live after %.1f s", n, time.Since(began).Seconds())
	var patch []string
	for i := range 22 {
		patch = append(patch, fmt.Sprintf(`{"setOrganisation":{"name":"team-%d","maxQueued":100000,"guarantee":{"gulf-a":{"slot":%d}}}}`, i, n/8))
	}
	a := c.call("e1", http.MethodPost, "/v1/config/patches", `{"base":0,"author":"op","changes":[`+strings.Join(patch, ",")+`]}`)
	require.EqualValues(t, 1, a.Version, "%+v", a)
	c.eventually("the patch is in force", func() bool { return c.call("e2", http.MethodGet, "/v1/config", "").Version == 1 })
	began = time.Now()
	c.fill(n)
	require.Eventually(t, func() bool { return c.placed("e1") >= n/2 }, 2*time.Minute, 100*time.Millisecond)
	t.Logf("%d gangs of %d tasks placed after %.1f s", n/2, 2**capacityTasks, time.Since(began).Seconds())
	time.Sleep(2 * time.Second)
	placer, follower := "e1", "e2"
	if !c.view("e1").Placer {
		placer, follower = follower, placer
	}
	p0, f0 := c.usage(placer), c.usage(follower)
	time.Sleep(*capacityFor)
	p1, f1 := c.usage(placer), c.usage(follower)
	report(t, n, "placer", p0, p1)
	report(t, n, "follower", f0, f1)
	began = time.Now()
	c.addHost("e3")
	require.GreaterOrEqual(t, c.placed("e3"), n/2, "a ready host has the whole state")
	t.Logf("workers %d: a fresh host is ready with the state %.2f s after its start", n, time.Since(began).Seconds())
}

// report logs the use of a process between two readings.
func report(t *testing.T, n int, role string, a, b usage) {
	t.Helper()
	s := b.at.Sub(a.at).Seconds()
	line := fmt.Sprintf("workers %d %s: cpu %.2f %% of a core, rss %.1f MB", n, role, 100*(b.cpu-a.cpu)/s, b.rss)
	total := 0.0
	for _, k := range []string{"worker", "peer", "log"} {
		sent := b.bytes["bytesSent/"+k] - a.bytes["bytesSent/"+k]
		got := b.bytes["bytesReceived/"+k] - a.bytes["bytesReceived/"+k]
		line += fmt.Sprintf(", %s %.2f KB/s out %.2f KB/s in", k, sent/s/1000, got/s/1000)
		total += sent + got
	}
	t.Logf("%s, total %.2f KB/s", line, total/s/1000)
}

// fill submits gangs that run for hours, so that every worker has its tasks.
func (c *cluster) fill(n int) {
	c.t.Helper()
	work := base64JSON(standin.TaskSpec{RunTime: 36_000_000, Echo: "long"}.Payload())
	var next atomic.Int64
	var wg sync.WaitGroup
	for range 32 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := int(next.Add(1)); i <= n/2; i = int(next.Add(1)) {
				b := fmt.Sprintf(`{"organisation":"team-%d","class":"long","members":%d,"accelerators":1,"runTime":36000000,"payload":%s}`,
					i%22, 2**capacityTasks, work)
				if a := c.call("e1", http.MethodPost, "/v1/jobs", b); a.Status != http.StatusAccepted {
					c.t.Errorf("%+v", a)
					return
				}
			}
		}()
	}
	wg.Wait()
}

// placed returns the number of placed jobs that a host knows.
func (c *cluster) placed(host string) int {
	res, err := http.Get("http://" + c.hosts[host].address + "/v1/status")
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	var s struct{ Placed int }
	_ = decode(res.Body, &s)
	return s.Placed
}
