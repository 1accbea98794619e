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

// Flags of TestCapacity. The defaults give a short run for CI.
var (
	capacitySizes    = flag.String("capacity.sizes", "8", "comma-separated numbers of workers")
	capacityDuration = flag.Duration("capacity.for", 2*time.Second, "duration of the measurement in steady state")
	capacityTasks    = flag.Int("capacity.tasks", 4, "running tasks per worker")
)

// usage holds the resources that a process has used by the time at.
type usage struct {
	// cpu is the total processor time in seconds; rss is the resident memory in MB
	// (2^20 bytes).
	cpu, rss float64
	// bytes holds the byte counters of /metrics, keyed by metric.
	bytes map[string]float64
	at    time.Time
}

// usage reads the resource usage of a host from /proc and /metrics.
func (c *cluster) usage(host string) usage {
	c.t.Helper()
	p := c.hosts[host]
	u := usage{at: time.Now(), bytes: map[string]float64{}}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(c.t, err)
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	const ticksPerSecond, pageMB = 100.0, 4096.0 / (1 << 20)
	utime, _ := strconv.ParseFloat(f[11], 64)
	stime, _ := strconv.ParseFloat(f[12], 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	u.cpu, u.rss = (utime+stime)/ticksPerSecond, pages*pageMB
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

// TestCapacity measures processor time, memory and traffic of the placer and of a
// follower at several numbers of workers. Both hold the state of a data centre and
// handle only control traffic. It also measures how soon a new host is ready.
func TestCapacity(t *testing.T) {
	for _, size := range strings.Split(*capacitySizes, ",") {
		n, err := strconv.Atoi(size)
		require.NoError(t, err)
		t.Run(fmt.Sprintf("workers=%d", n), func(t *testing.T) { measureCapacity(t, n) })
	}
}

// measureCapacity measures a cluster of n workers.
func measureCapacity(t *testing.T, n int) {
	t.Helper()
	c := newCluster(t)
	c.start("workers", "", "standin", "workers", "--count", fmt.Sprint(n), "--data-centre", "gulf-a", "--platform", "http://"+c.platform.address)
	c.addHost("e1")
	c.addHost("e2")
	startedAt := time.Now()
	require.Eventually(t, func() bool { return c.liveWorkers("e1") == n && c.liveWorkers("e2") == n }, 2*time.Minute, 100*time.Millisecond)
	t.Logf("%d workers live after %.1f s", n, time.Since(startedAt).Seconds())
	var patch []string
	for i := range 22 {
		patch = append(patch, fmt.Sprintf(`{"setOrganisation":{"name":"team-%d","maxQueued":100000,"guarantee":{"gulf-a":{"slot":%d}}}}`, i, n/8))
	}
	a := c.call("e1", http.MethodPost, "/v1/config/patches", `{"base":0,"author":"op","changes":[`+strings.Join(patch, ",")+`]}`)
	require.EqualValues(t, 1, a.Version, "%+v", a)
	c.eventually("the patch is in force", func() bool { return c.call("e2", http.MethodGet, "/v1/config", "").Version == 1 })
	startedAt = time.Now()
	c.submitLongGangs(n)
	require.Eventually(t, func() bool { return c.jobsPlaced("e1") >= n/2 }, 2*time.Minute, 100*time.Millisecond)
	t.Logf("%d gangs of %d tasks placed after %.1f s", n/2, 2**capacityTasks, time.Since(startedAt).Seconds())
	time.Sleep(2 * time.Second)
	placer, follower := "e1", "e2"
	if !c.readiness("e1").Placer {
		placer, follower = follower, placer
	}
	p0, f0 := c.usage(placer), c.usage(follower)
	time.Sleep(*capacityDuration)
	p1, f1 := c.usage(placer), c.usage(follower)
	logUsage(t, n, "placer", p0, p1)
	logUsage(t, n, "follower", f0, f1)
	startedAt = time.Now()
	c.addHost("e3")
	require.GreaterOrEqual(t, c.jobsPlaced("e3"), n/2, "a ready host must hold the complete state")
	t.Logf("workers %d: a fresh host is ready with the state %.2f s after its start", n, time.Since(startedAt).Seconds())
}

// logUsage logs the resource usage of a process between two readings.
func logUsage(t *testing.T, n int, role string, before, after usage) {
	t.Helper()
	s := after.at.Sub(before.at).Seconds()
	line := fmt.Sprintf("workers %d %s: cpu %.2f %% of a core, rss %.1f MB", n, role, 100*(after.cpu-before.cpu)/s, after.rss)
	total := 0.0
	for _, k := range []string{"worker", "peer", "log"} {
		sent := after.bytes["bytesSent/"+k] - before.bytes["bytesSent/"+k]
		got := after.bytes["bytesReceived/"+k] - before.bytes["bytesReceived/"+k]
		line += fmt.Sprintf(", %s %.2f KB/s out %.2f KB/s in", k, sent/s/1000, got/s/1000)
		total += sent + got
	}
	t.Logf("%s, total %.2f KB/s", line, total/s/1000)
}

// submitLongGangs submits n/2 gangs that run for ten hours, enough for
// capacity.tasks tasks per worker.
func (c *cluster) submitLongGangs(n int) {
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

// jobsPlaced returns the number of placed jobs in a host's status, or 0 when the host
// does not respond.
func (c *cluster) jobsPlaced(host string) int {
	res, err := http.Get("http://" + c.hosts[host].address + "/v1/status")
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	var s struct{ Placed int }
	_ = decode(res.Body, &s)
	return s.Placed
}
