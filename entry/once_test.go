package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// bill returns a once-only reconciliation.
func bill(ms int64) job.Spec {
	s := spec("acme", "reconciliation", "bill", ms)
	s.AtMostOnce, s.Key = true, "bill"
	return s
}

// runsOf returns how often echo has run.
func (w *world) runsOf(echo string) int {
	n := 0
	for _, wk := range w.workers {
		for _, i := range wk.History() {
			if i.Echo == echo {
				n++
			}
		}
	}
	return n
}

// TestOnceAtManyHosts sends the same request to all hosts at once, twice.
func TestOnceAtManyHosts(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		var wg sync.WaitGroup
		for range 2 {
			for _, h := range w.hostNames() {
				wg.Add(1)
				go func() {
					defer wg.Done()
					r, err := w.submit(h, bill(500), 20*time.Second)
					if err != nil || r.Outcome == nil || r.Outcome.Result != job.Completed {
						t.Errorf("%s: %+v %v", h, r, err)
					}
				}()
			}
		}
		wg.Wait()
		require.Equal(t, 1, w.runsOf("bill"))
	})
}

// TestOnceWithLostAppend loses the log's answers, and applies the appends at
// once, late, or later than the caller waits.
func TestOnceWithLostAppend(t *testing.T) {
	for _, late := range []time.Duration{0, 300 * time.Millisecond, 20 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.log.SetFaults(standin.LogFaults{LoseAnswers: true, LateApply: late})
				r, err := w.submit("a-e0", bill(500), 10*time.Second)
				t.Logf("told %+v %v", r.Outcome, err)
				told := fault.NothingDone(err)
				time.Sleep(25 * time.Second)
				require.False(t, told && w.runsOf("bill") > 0, "told that nothing was done, and it ran")
				w.log.SetFaults(standin.LogFaults{})
				time.Sleep(10 * time.Second)
				r, err = w.submit("a-e1", bill(500), 20*time.Second)
				require.NoError(t, err)
				require.NotNil(t, r.Outcome)
				require.Equal(t, job.Completed, r.Outcome.Result)
				time.Sleep(30 * time.Second)
				require.Equal(t, 1, w.runsOf("bill"))
			})
		})
	}
}

// TestOnceWhenPlacerFreezes freezes the placer at many points around a once-only
// start, so that it thaws between a check and its action after another host
// has taken over.
func TestOnceWhenPlacerFreezes(t *testing.T) {
	for d := time.Duration(0); d < 12*time.Millisecond; d += time.Millisecond {
		t.Run(d.String(), func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				old := w.placerOf()
				_, err := w.submit(w.notPlacer(), bill(500), 0)
				require.NoError(t, err)
				time.Sleep(d)
				w.freeze(old, 20*time.Second)
				time.Sleep(40 * time.Second)
				require.LessOrEqual(t, w.runsOf("bill"), 1)
				r, err := w.submit(w.notPlacer(), bill(500), 20*time.Second)
				require.NoError(t, err)
				require.NotNil(t, r.Outcome)
				if r.Outcome.Result == job.NotRun {
					require.Zero(t, w.runsOf("bill"))
				}
				require.LessOrEqual(t, w.runsOf("bill"), 1)
			})
		})
	}
}

// TestOnceWhenWorkerDies ends as unknown, and is never run again.
func TestOnceWhenWorkerDies(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		_, err := w.submit("a-e0", bill(30_000), 0)
		require.NoError(t, err)
		require.True(t, w.until(5*time.Second, func() bool { return len(w.runningOn("bill")) == 1 }))
		n := w.runningOn("bill")[0]
		w.workers[n].Kill()
		w.workers[n].Restart(n + ".2")
		r, err := w.submit("a-e1", bill(30_000), time.Minute)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Unknown, r.Outcome.Result)
		require.NotEmpty(t, r.Outcome.Reason.Remedy)
		time.Sleep(time.Minute)
		require.Equal(t, 1, w.runsOf("bill"))
	})
}

// TestOnceWhileWorkerForgets completes a once-only job while no host lives, and
// fills its worker's memory before one does. The end must still be there.
func TestOnceWhileWorkerForgets(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		_, err := w.submit("a-e0", bill(2000), 0)
		require.NoError(t, err)
		require.True(t, w.until(5*time.Second, func() bool { return len(w.runningOn("bill")) == 1 }))
		wk := w.workers[w.runningOn("bill")[0]]
		wk.Memory = 4
		w.stop()
		time.Sleep(3 * time.Second)
		for i := range 20 {
			_, err := wk.Upstream().Run(w.ctx, upstream.Run{Wait: 1000, Order: upstream.Order{
				Task: fmt.Sprint("flood", i), Lease: 1000, Payload: standin.Work{Run: 1}.Payload(),
			}})
			require.NoError(t, err)
		}
		w.startHost("a-e3", "a")
		require.True(t, w.settled(8))
		r, err := w.submit("a-e3", bill(2000), time.Minute)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		require.Equal(t, 1, w.runsOf("bill"))
	})
}

// TestWorkersForgetWhatIsRecorded runs jobs while heartbeats get lost and the
// placer is replaced. What the log has, the workers need not remember.
func TestWorkersForgetWhatIsRecorded(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for _, wk := range w.workers {
			wk.Memory = 1
		}
		for i := range 60 {
			s := spec("acme", "plan", "p", 20)
			s.Key = fmt.Sprint("p", i)
			_, err := w.submit(w.hostNames()[0], s, 10*time.Second)
			require.NoError(t, err)
			switch i {
			case 20, 40:
				w.killHost(w.placerOf())
			case 30, 31, 32:
				w.cut("a-w0", w.placerOf(), true)
				w.later(w.ctx, time.Second, func() { w.cut("a-w0", w.placerOf(), false) })
			}
		}
		time.Sleep(20 * time.Second)
		for n, wk := range w.workers {
			require.LessOrEqual(t, wk.Remembered(), wk.Memory, "%s remembers ends that the log has", n)
		}
	})
}

// TestOnceAfterRetention asks for a finished once-only request after the log
// has dropped its records and every host was replaced.
func TestOnceAfterRetention(t *testing.T) {
	inTunedWorld(t, func(s *Settings) { s.SnapshotRecords, s.SnapshotEvery = 1000, 30*time.Second }, func(t *testing.T, w *world) {
		w.log.SetRetention(2 * time.Minute)
		r, err := w.submit("a-e0", bill(500), 20*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		time.Sleep(10 * time.Minute)
		for _, h := range w.hostNames() {
			w.killHost(h)
		}
		w.startHost("a-e7", "a")
		require.True(t, w.until(30*time.Second, func() bool { return w.host("a-e7").View().Ready }), "%+v", w.host("a-e7").View())
		r, err = w.submit("a-e7", bill(500), 20*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		require.Equal(t, job.Completed, r.Outcome.Result)
		require.Equal(t, 1, w.runsOf("bill"))
	})
}

// TestKeyUsedForAnotherBody is refused and nothing runs.
func TestKeyUsedForAnotherBody(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		_, err := w.submit("a-e0", bill(500), 20*time.Second)
		require.NoError(t, err)
		other := bill(500)
		other.Payload = standin.Work{Run: 500, Echo: "other"}.Payload()
		_, err = w.submit("a-e1", other, 20*time.Second)
		require.Equal(t, fault.KeyReused, fault.KindOf(err))
		require.Zero(t, w.runsOf("other"))
	})
}

// TestNotRunIsTrue cancels jobs at many points of their life. Who was told
// notRun has not run.
func TestNotRunIsTrue(t *testing.T) {
	for d := time.Duration(0); d < 60*time.Millisecond; d += 5 * time.Millisecond {
		t.Run(d.String(), func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				r, err := w.submit("a-e0", bill(40), 0)
				require.NoError(t, err)
				time.Sleep(d)
				_, err = w.host("a-e1").Call(w.ctx, func(id string) dispatch.Event {
					return dispatch.Event{Cancel: &dispatch.Cancel{Waiter: id, Job: r.Job, By: "clerk"}}
				})
				require.NoError(t, err)
				r, err = w.ask("a-e2", r.Job, 20*time.Second)
				require.NoError(t, err)
				require.NotNil(t, r.Outcome)
				t.Logf("told %s after %d runs", r.Outcome.Result, w.runsOf("bill"))
				if r.Outcome.Result == job.NotRun {
					time.Sleep(10 * time.Second)
					require.Zero(t, w.runsOf("bill"))
				}
			})
		})
	}
}
