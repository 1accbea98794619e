package soak

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
	"github.com/limpetrelay/limpetrelay/platform"
)

const (
	// strandedTime is how long a job may have nothing running on a calm day while there is
	// free capacity for it twice over.
	strandedTime = 3 * time.Second
	// strandedCheckInterval is the time between two checks for this.
	strandedCheckInterval = 100 * time.Millisecond
)

// jobClass describes the jobs of one route. Counts and durations are drawn from
// distributions with the given means.
type jobClass struct {
	route string
	// perWorker is the number of jobs a second for each worker.
	perWorker float64
	// tasks and duration are means; duration is in milliseconds. maxTasks and maxDuration
	// bound what is drawn.
	tasks, maxTasks       float64
	duration, maxDuration float64
	cores, memory         int64
	accelerators          []int64
	gang                  bool
	// sameRack, checkpoints and label are the shares of the jobs with these properties.
	sameRack, checkpoints, label float64
	// second is the share of the jobs with a second step after the first.
	second float64
}

// classes fill about five sixths of the accelerators. They are those of the users' largest pool,
// by worker.
var classes = []jobClass{
	{
		route: "plan", perWorker: 2.07 / 350, tasks: 13, maxTasks: 78, duration: 8500, maxDuration: 11_000, cores: 26_000, memory: 68_000,
		accelerators: []int64{1, 2, 4, 8, 8}, gang: true, sameRack: 0.6, checkpoints: 0.45, label: 0.3,
	},
	{
		route: "urgent", perWorker: 8.8 / 350, tasks: 5.4, maxTasks: 32, duration: 2500, maxDuration: 8000, cores: 7500, memory: 15_000,
		accelerators: []int64{1, 2, 4, 8, 8}, gang: true, sameRack: 0.8,
	},
	{
		route: "batch", perWorker: 2.04 * 1.3 / 350, tasks: 39, maxTasks: 230, duration: 7600, maxDuration: 11_000, cores: 5600, memory: 15_000,
		accelerators: []int64{1}, checkpoints: 0.45, label: 0.12,
	},
}

// spread is the standard deviation of the logarithm of a drawn number of tasks, and
// durationSpread that of a duration.
const (
	spread         = 0.8
	durationSpread = 0.3
)

// workerCapacity is the capacity of each worker.
var workerCapacity = jobspec.Resources{Cores: 64_000, Memory: 131_072, Accelerators: 8}

// draw returns a random job of the class for a pool with the given number of workers, with its
// estimate and its actual run time.
func (c *jobClass) draw(r *rand.Rand, id string, workers int) (jobspec.Spec, int64) {
	logNormal := func(mean, deviation float64) float64 {
		return mean * math.Exp(deviation*r.NormFloat64()-deviation*deviation/2)
	}
	duration := min(c.maxDuration, logNormal(c.duration, durationSpread))
	need := jobspec.Resources{Cores: c.cores, Memory: c.memory, Accelerators: c.accelerators[r.IntN(len(c.accelerators))]}
	// No job takes more than a quarter of the pool.
	most := max(1, need.Fit(workerCapacity, int(c.maxTasks))*workers/4)
	step := jobspec.Step{
		Tasks: min(most, int(min(c.maxTasks, max(1, logNormal(c.tasks, spread))))), Need: need,
		Estimate: int64(duration * (0.5 + r.Float64())), Gang: c.gang, SameRack: c.gang && r.Float64() < c.sameRack, Checkpoints: r.Float64() < c.checkpoints,
	}
	if r.Float64() < c.label {
		step.Label = "a"
	}
	spec := jobspec.Spec{ID: id, MaxAttempts: 4, Steps: []jobspec.Step{step}}
	if c.second > 0 && r.Float64() < c.second {
		step.After = []int{0}
		spec.Steps = append(spec.Steps, step)
	}
	return spec, int64(duration)
}

// body encodes a job.
func body(s *jobspec.Spec) string {
	var steps []map[string]any
	for i := range s.Steps {
		step := &s.Steps[i]
		steps = append(steps, map[string]any{
			"count": step.Tasks, "cpu": step.Need.Cores, "mem_mb": step.Need.Memory, "gpu": step.Need.Accelerators, "est_ms": step.Estimate,
			"gang": step.Gang, "colocated": step.SameRack, "saves_progress": step.Checkpoints, "needs": step.Label, "after": step.After,
		})
	}
	b, err := json.Marshal(map[string]any{"spec": "x", "steps": steps})
	if err != nil {
		panic(err)
	}
	return string(b)
}

// submitClass submits jobs of a class at random times until stop is closed. Of those that were
// accepted, the share repeats is submitted again later.
func (l *loadGenerator) submitClass(n int, c *jobClass, repeats float64, stop chan struct{}) {
	r := rand.New(rand.NewPCG(l.seed, uint64(100+n)))
	workers := len(l.cluster.workers.IDs())
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.ExpFloat64() / (c.perWorker * float64(workers)) * float64(time.Second))):
		}
		j := &submittedJob{id: fmt.Sprintf("%04x%04x%08x", n, i, l.seed), prefix: "/" + c.route + "/", key: l.cluster.keys[0]}
		spec, duration := c.draw(r, j.id, workers)
		l.cluster.workers.AddJob(&spec, duration, false)
		text, seed := body(&spec), r.Uint64()
		if _, err := platform.DecodeJob([]byte(text)); err != nil {
			l.violationf("cannot decode the generated job: %v", err)
			return
		}
		l.mu.Lock()
		l.jobs = append(l.jobs, j)
		l.mu.Unlock()
		wg.Go(func() {
			client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			callers := rand.New(rand.NewPCG(seed, 1))
			for range maxSubmitAttempts {
				status, _ := l.call(client, callers, http.MethodPost, j, text)
				if status == http.StatusOK {
					l.accept(j)
					if callers.Float64() < repeats {
						l.repeat(callers, j, text)
					}
					return
				}
				j.outcomeUnknown = j.outcomeUnknown || status == 0 || status == http.StatusGatewayTimeout
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}

// watchStranded records a violation for each accepted job that is stranded for longer than
// strandedTime, until stop is closed.
func (l *loadGenerator) watchStranded(stop chan struct{}) {
	since := make(map[string]time.Time)
	reported := make(map[string]bool)
	for {
		select {
		case <-stop:
			return
		case <-time.After(strandedCheckInterval):
		}
		accepted := make(map[string]bool)
		l.mu.Lock()
		for _, j := range l.jobs {
			accepted[j.id] = !j.acceptedAt.IsZero()
		}
		l.mu.Unlock()
		now := time.Now()
		last := since
		since = make(map[string]time.Time)
		for _, id := range l.cluster.workers.Stranded() {
			if !accepted[id] {
				continue
			}
			since[id] = now
			if at, ok := last[id]; ok {
				since[id] = at
			}
			if d := now.Sub(since[id]); d > strandedTime && !reported[id] {
				reported[id] = true
				starts, _ := l.cluster.workers.Starts(id)
				l.violationf("job %s has had nothing running for %v although it could run, after %d starts", id, d.Round(time.Millisecond), starts)
			}
		}
	}
}

// Guards against a job that waits although there is free capacity for it: on a calm day, however
// full the pool is, no job may have nothing running for longer than strandedTime while what
// it would start fits twice. Run it with -soak.hosts 32 -soak.workers 350 -soak.for 100s for
// the size of the users' pool.
func TestNoJobIsStranded(t *testing.T) {
	scenario := simulation.Scenario{
		Seed: *seedFlag, Workers: max(24, *workersFlag), Capacity: workerCapacity,
		StopTime: 200, GangWait: 4000, MaxLease: 6000,
	}
	c := newCluster(t, scenario, *hostsFlag)
	for _, h := range c.hosts {
		require.Eventually(t, h.isReady, 20*time.Second, 50*time.Millisecond, "%s did not become ready", h.name)
	}
	time.Sleep(2 * time.Second)
	load := newLoadGenerator(c, *seedFlag)
	stop, stopWatch := make(chan struct{}), make(chan struct{})
	var wg, watch sync.WaitGroup
	watch.Go(func() { load.watchStranded(stopWatch) })
	for n := range classes {
		wg.Go(func() { load.submitClass(n, &classes[n], 0, stop) })
	}
	time.Sleep(*durationFlag)
	close(stop)
	wg.Wait()
	t.Cleanup(func() {
		close(stopWatch)
		watch.Wait()
		load.logSummary()
		require.Empty(t, c.workers.Violations(), "violations observed by workers")
		require.Empty(t, load.reportedViolations(), "violations observed by callers")
	})
	load.settle()
}
