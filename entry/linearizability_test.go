package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/standin"
)

// operation is the input of one operation in a history: a patch or a submission.
type operation struct {
	// base is the base version of a patch.
	base uint64
	// key is the key of a submission; empty for patches.
	key string
}

// response is the output of one operation.
type response struct {
	// kind is the kind of the error; empty for success.
	kind    fault.Kind
	version uint64
	job     string
}

// versionModel models the configuration: a patch of the current version creates the
// next version, and any other patch is a conflict.
var versionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		v, in, out := state.(uint64), input.(operation), output.(response)
		switch out.kind {
		case "":
			if in.base == v && out.version == v+1 {
				return []any{v + 1}
			}
			return nil
		case fault.Conflict:
			if in.base == v {
				return nil
			}
			return []any{v}
		case fault.Unknown:
			if in.base == v {
				return []any{v, v + 1}
			}
			return []any{v}
		default:
			return []any{v}
		}
	},
}

// claimModel models the keys of requests: the first submission with a key creates
// the job, and later ones return the same job.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range ops {
			k := o.Input.(operation).key
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		id, out := state.(string), output.(response)
		switch {
		case out.kind == "" && (id == "" || id == out.job):
			return []any{out.job}
		case out.kind == "":
			return nil
		default:
			// A submission whose response was lost may have created a job with an ID
			// that no client received, so any later response may be the first to
			// return it.
			return []any{id}
		}
	},
}

// recorder records the history of operations.
type recorder struct {
	mu        sync.Mutex
	startedAt time.Time
	ops       []porcupine.Operation
}

// run runs one operation and records it. An operation with an unknown outcome is
// recorded as one that never returned, because it may take effect later.
func (r *recorder) run(client int, in operation, fn func() response) {
	call := time.Since(r.startedAt).Nanoseconds()
	out := fn()
	end := time.Since(r.startedAt).Nanoseconds()
	if out.kind == fault.Unknown {
		end = int64(time.Hour) * 1000
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
}

// varyLogFaults changes the faults of the log at random times until ctx ends.
func (sim *simulation) varyLogFaults(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	for ctx.Err() == nil {
		retry.Pause(ctx, time.Duration(rnd.IntN(4000))*time.Millisecond)
		sim.log.SetFaults([]standin.LogFaults{
			{}, {}, {Down: true}, {LoseAnswers: true}, {LoseAnswers: true, LateApply: 700 * time.Millisecond}, {Delay: 200 * time.Millisecond},
		}[rnd.IntN(6)])
	}
	sim.log.SetFaults(standin.LogFaults{})
}

// recordHistory runs concurrent operations of six clients at three hosts for a
// minute while the log has faults, and returns their history.
func (sim *simulation) recordHistory(seed uint64, fn func(r *recorder, client int, host string, rnd *rand.Rand)) []porcupine.Operation {
	ctx, cancel := context.WithTimeout(sim.ctx, time.Minute)
	defer cancel()
	r := &recorder{startedAt: time.Now()}
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				retry.Pause(ctx, time.Duration(rnd.IntN(1000))*time.Millisecond)
				fn(r, i, sim.hostNames()[rnd.IntN(3)], rnd)
			}
		}()
	}
	sim.varyLogFaults(ctx, seed)
	wg.Wait()
	// Appends that are applied late arrive before the simulation ends.
	time.Sleep(time.Second)
	return r.ops
}

func TestConfigurationIsLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inSimulation(t, func(t *testing.T, sim *simulation) {
				ops := sim.recordHistory(seed, func(r *recorder, client int, host string, rnd *rand.Rand) {
					base := sim.host(host).View().Version
					if rnd.IntN(5) == 0 {
						base += uint64(rnd.IntN(3)) - 1
					}
					r.run(client, operation{base: base - 1}, func() response {
						rep, err := sim.patch(host, config.Patch{Base: base, Author: "op", Changes: []config.Change{
							{SetClass: &config.NamedClass{Name: "c", Class: config.Class{Priority: client}}},
						}})
						return response{kind: fault.KindOf(err), version: rep.Version - 1}
					})
				})
				// The patch that set up the simulation created version 1, which is version 0
				// of the model.
				res, _ := porcupine.CheckOperationsVerbose(versionModel.ToModel(), ops, time.Minute)
				require.Equal(t, porcupine.Ok, res, "%d operations", len(ops))
				t.Logf("%d operations, version %d", len(ops), sim.host("a-e0").View().Version)
			})
		})
	}
}

func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inSimulation(t, func(t *testing.T, sim *simulation) {
				ops := sim.recordHistory(seed, func(r *recorder, client int, host string, rnd *rand.Rand) {
					key := fmt.Sprintf("k%d", rnd.IntN(20))
					r.run(client, operation{key: key}, func() response {
						s := spec("acme", "reconciliation", key, 100)
						s.AtMostOnce, s.Key = true, key
						rep, err := sim.submit(host, s, 0)
						return response{kind: fault.KindOf(err), job: rep.Job}
					})
				})
				res, _ := porcupine.CheckOperationsVerbose(claimModel.ToModel(), ops, time.Minute)
				require.Equal(t, porcupine.Ok, res, "%d operations", len(ops))
				time.Sleep(time.Minute)
				for k := range 20 {
					require.LessOrEqual(t, sim.countRuns(fmt.Sprintf("k%d", k)), 1)
				}
				t.Logf("%d operations", len(ops))
			})
		})
	}
}

// TestLostAppendThenOutage loses the response to an append, which is applied late,
// and then lets the log refuse all calls. The caller must not be told that nothing
// was done, because the job may run.
func TestLostAppendThenOutage(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		sim.log.SetFaults(standin.LogFaults{LoseAnswers: true, LateApply: 8 * time.Second})
		sim.after(sim.ctx, 10*time.Millisecond, func() { sim.log.SetFaults(standin.LogFaults{Down: true}) })
		r, err := sim.submit("a-e0", atMostOnceJob(500), 4*time.Second)
		toldNothingDone := fault.NothingDone(err) || r.Outcome != nil && r.Outcome.Result == job.NotRun
		time.Sleep(5 * time.Second)
		sim.log.SetFaults(standin.LogFaults{})
		time.Sleep(20 * time.Second)
		t.Logf("reply %+v %v, ran %d times", r.Outcome, err, sim.countRuns("bill"))
		require.False(t, toldNothingDone && sim.countRuns("bill") > 0, "told that nothing was done, and it ran")
	})
}
