package entry

import (
	"context"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/retry"
)

// cancelWave cancels every second open job that a host knows, all at once.
func (sim *simulation) cancelWave(ctx context.Context, host string) {
	r := sim.host(host)
	if r == nil {
		return
	}
	var ids []string
	r.inspect(ctx, func(s *dispatch.State) {
		for id := range s.Ledger.OpenJobs() {
			ids = append(ids, id)
		}
	})
	var wg sync.WaitGroup
	for i, id := range ids {
		if i%2 == 1 {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(sim.ctx, 20*time.Second)
			defer cancel()
			_, _ = r.Call(ctx, func(waiter string) dispatch.Event {
				return dispatch.Event{Cancel: &dispatch.Cancel{Waiter: waiter, Job: id, By: "wave"}}
			})
		}()
	}
	wg.Wait()
}

// racePatches submits conflicting patches to all hosts at once.
func (sim *simulation) racePatches(pick int) {
	for i, h := range sim.hostNames() {
		r := sim.host(h)
		if r == nil {
			continue
		}
		p := config.Patch{Base: r.View().Version, Author: h, Changes: []config.Change{
			{SetClass: &config.NamedClass{Name: "class1", Class: config.Class{Priority: (pick + i) % 50}}},
		}}
		go func() { _, _ = sim.patch(h, p) }()
	}
}

// setClosed closes or opens a data centre. It tries all hosts up to 20 times, a
// second apart.
func (sim *simulation) setClosed(dc string, closed bool) {
	ch := config.Change{OpenDataCentre: dc}
	if closed {
		ch = config.Change{CloseDataCentre: &config.NamedClosing{Name: dc}}
	}
	for range 20 {
		for _, h := range sim.hostNames() {
			r := sim.host(h)
			if r == nil {
				continue
			}
			_, err := sim.patch(h, config.Patch{Base: r.View().Version, Author: "op", Changes: []config.Change{ch}})
			if err == nil || fault.KindOf(err) == fault.NotFound {
				return
			}
		}
		retry.Pause(sim.ctx, time.Second)
	}
}
