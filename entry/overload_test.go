package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/standin"
)

// loadResult holds the measurements of an open loop of small requests. A request is
// refused when it ends with an error, and late when its result after the wait is
// notRun, unknown or none.
type loadResult struct {
	offered, completed, refused, failed, late int
	p50, p99                                  time.Duration
	runs                                      int
}

// String returns the measurements on one line.
func (l *loadResult) String() string {
	return fmt.Sprintf("offered %d, completed in time %d, refused %d, failed %d, late %d, p50 %s, p99 %s, %.2f runs per request",
		l.offered, l.completed, l.refused, l.failed, l.late, l.p50, l.p99, float64(l.runs)/float64(l.offered))
}

// measureOverload offers small requests of 100 ms at a multiple of the capacity of
// ten workers, one of which fails all tasks, for duration in virtual time.
func measureOverload(t *testing.T, multiple float64, duration time.Duration, tune func(*Settings)) loadResult {
	t.Helper()
	var l loadResult
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t.Context(), t)
		sim.tune = tune
		defer sim.stop()
		sim.addWorkers("a", 10)
		for _, h := range []string{"a-e0", "a-e1", "a-e2"} {
			sim.startHost(h, "a")
		}
		require.True(t, sim.waitUntilReady(10))
		require.NoError(t, sim.createOrganisations("a-e0", map[string]rack.Shape{"acme": {}, "lender": {}}))
		sim.workers["a-w0"].SetFaults(standin.WorkerFaults{FailAll: true})
		l = sim.openLoop(multiple, duration)
	})
	return l
}

// openLoop submits requests at a fixed rate, which does not depend on the replies.
// multiple is relative to the capacity of ten workers.
func (sim *simulation) openLoop(multiple float64, duration time.Duration) loadResult {
	const run, wait = 100, 2 * time.Second
	interval := time.Duration(float64(run*time.Millisecond) / (multiple * 10 * rack.SlotsPerWorker))
	var l loadResult
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(sim.ctx, duration)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		l.offered++
		wg.Add(1)
		go func() {
			defer wg.Done()
			startedAt := time.Now()
			r, err := sim.submit(fmt.Sprintf("a-e%d", i%3), spec([]string{"acme", "lender"}[i%2], "assay", fmt.Sprint("o-", i), run), wait)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				l.refused++
			case r.Outcome == nil || r.Outcome.Result == job.NotRun || r.Outcome.Result == job.Unknown:
				l.late++
			case r.Outcome.Result == job.Completed:
				l.completed++
				latencies = append(latencies, time.Since(startedAt))
			default:
				l.failed++
			}
		}()
		retry.Pause(ctx, interval)
	}
	wg.Wait()
	slices.Sort(latencies)
	if len(latencies) > 0 {
		l.p50, l.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
	for _, wk := range sim.workers {
		l.runs += len(wk.History())
	}
	return l
}

// TestOverload offers up to four times the capacity while a tenth of the workers fail
// all tasks. Goodput, the 99th percentile of the answer times and the number of
// retries must stay within their bounds. The runs without admission control and with
// unbounded retries are for comparison.
func TestOverload(t *testing.T) {
	t.Parallel()
	const duration = 3 * time.Second
	type result struct{ admission, noAdmission, unboundedRetries loadResult }
	results := map[float64]result{}
	for _, multiple := range []float64{1, 2, 4} {
		r := result{
			admission:        measureOverload(t, multiple, duration, nil),
			noAdmission:      measureOverload(t, multiple, duration, func(s *Settings) { s.SmallWaitLimit = 1 << 40 }),
			unboundedRetries: measureOverload(t, multiple, duration, func(s *Settings) { s.SmallWaitLimit = 1 << 40; s.RetryReserve = 1 << 40 }),
		}
		results[multiple] = r
		t.Logf("%gx admission control %s", multiple, &r.admission)
		t.Logf("%gx no admission      %s", multiple, &r.noAdmission)
		t.Logf("%gx unbounded retries %s", multiple, &r.unboundedRetries)
	}
	one := results[1].admission
	for _, multiple := range []float64{2, 4} {
		o := results[multiple].admission
		require.GreaterOrEqual(t, o.completed, one.completed*8/10, "goodput at %gx", multiple)
		require.LessOrEqual(t, o.p99, 2*time.Second, "answer time at %gx", multiple)
		require.LessOrEqual(t, o.runs, o.offered*11/10+3*10, "runs must be bounded by the retry budget")
	}
}

// TestRetriesInOutage makes all workers unavailable for ten seconds under load, so
// that every try fails at once or hangs. The retries must stay within the budget: a
// tenth of the requests, and the reserve of each host.
func TestRetriesInOutage(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*standin.Worker)
		heal func(*standin.Worker)
	}{
		{"refused", (*standin.Worker).Kill, func(wk *standin.Worker) { wk.Restart(wk.Name + ".2") }},
		{"silent", func(wk *standin.Worker) { wk.SetFaults(silentFault) }, func(wk *standin.Worker) { wk.SetFaults(standin.WorkerFaults{}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSimulation(t, func(t *testing.T, sim *simulation) {
				var tries atomic.Int64
				sim.beforeCall = func(_, _, operation, _ string) {
					if operation == "run" {
						tries.Add(1)
					}
				}
				for _, wk := range sim.workers {
					c.lose(wk)
				}
				sim.after(sim.ctx, 10*time.Second, func() {
					for _, wk := range sim.workers {
						c.heal(wk)
					}
				})
				l := sim.openLoop(0.25, 10*time.Second)
				t.Logf("%s; %.2f tries per request", &l, float64(tries.Load())/float64(l.offered))
				bound := float64(l.offered)*(1+retry.DefaultRatio) + 3*retry.DefaultReserve
				require.LessOrEqual(t, float64(tries.Load()), bound)
			})
		})
	}
}

// TestMerging compares appends of one record each with batches of up to 128 records
// at a log that accepts 300 appends a second. At 64 callers, batches must accept more
// than three times as many jobs per second.
func TestMerging(t *testing.T) {
	t.Parallel()
	for _, callers := range []int{1, 8, 64} {
		var rate [2]float64
		for i, batch := range []int{1, 128} {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t.Context(), t)
				sim.tune = func(s *Settings) { s.BatchRecords = batch }
				sim.log.Rate = 300
				defer sim.stop()
				sim.addWorkers("a", 8)
				sim.startHost("a-e0", "a")
				require.True(t, sim.waitUntilReady(8))
				_, err := sim.patch("a-e0", config.Patch{Author: "op", Changes: []config.Change{{SetOrganisation: &config.NamedOrganisation{
					Name: "acme", Organisation: config.Organisation{MaxQueued: 100_000},
				}}}})
				require.NoError(t, err)
				rate[i] = sim.closedLoop(t, callers, batch)
			})
		}
		if callers == 64 {
			require.Greater(t, rate[1], 3*rate[0], "batches must pay off at 64 callers")
		}
	}
}

// closedLoop lets each of the callers submit jobs one after the other for a second,
// and returns the number of accepted jobs per second.
func (sim *simulation) closedLoop(t *testing.T, callers, batch int) float64 {
	t.Helper()
	const duration = time.Second
	ctx, cancel := context.WithTimeout(sim.ctx, duration)
	defer cancel()
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	appends := sim.log.AppendCount()
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; ctx.Err() == nil; k++ {
				s := spec("acme", "plan", fmt.Sprintf("m-%d-%d", i, k), 1)
				s.Key = fmt.Sprintf("m-%d-%d", i, k)
				startedAt := time.Now()
				if _, err := sim.submit("a-e0", s, 0); err != nil {
					t.Errorf("%v", err)
					return
				}
				mu.Lock()
				latencies = append(latencies, time.Since(startedAt))
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	slices.Sort(latencies)
	rate := float64(len(latencies)) / duration.Seconds()
	t.Logf("%d callers, %d records per append: %.0f jobs/s accepted, p50 %s, p99 %s, %.0f appends/s", callers, batch, rate,
		latencies[len(latencies)/2], latencies[len(latencies)*99/100], float64(sim.log.AppendCount()-appends)/duration.Seconds())
	return rate
}
