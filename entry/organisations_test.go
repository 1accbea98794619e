package entry

import (
	"context"
	"time"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/standin"
)

// createOrganisations creates organisations with guarantees in homeDataCentre by a
// patch at a host, and waits until the patch is in force at all hosts.
func (sim *simulation) createOrganisations(host string, guarantees map[string]rack.Shape) error {
	p := config.Patch{Author: "op"}
	for o, s := range guarantees {
		p.Changes = append(p.Changes, config.Change{SetOrganisation: &config.NamedOrganisation{
			Name: o, Organisation: config.Organisation{Guarantee: map[string]rack.Shape{sim.homeDataCentre: s}},
		}})
	}
	p.Base = sim.host(host).View().Version
	_, err := sim.patch(host, p)
	if err != nil {
		return err
	}
	if !sim.waitUntil(10*time.Second, func() bool {
		for _, n := range sim.hostNames() {
			if sim.host(n).View().Version <= p.Base {
				return false
			}
		}
		return true
	}) {
		return fault.New(fault.Unknown, "the patch is not in force at all hosts", "check the hosts")
	}
	return nil
}

// patch submits a patch to a host.
func (sim *simulation) patch(host string, p config.Patch) (dispatch.Reply, error) {
	r := sim.host(host)
	if r == nil {
		return dispatch.Reply{}, unreachable()
	}
	ctx, cancel := context.WithTimeout(sim.ctx, 20*time.Second)
	defer cancel()
	return r.Call(ctx, func(id string) dispatch.Event {
		return dispatch.Event{Patch: &dispatch.Patch{Waiter: id, Patch: p}}
	})
}

// waitUntilReady waits until every host is ready and knows n live workers, and
// reports whether that happened within 20 s.
func (sim *simulation) waitUntilReady(n int) bool {
	return sim.waitUntil(20*time.Second, func() bool {
		for _, h := range sim.hostNames() {
			live := 0
			r := sim.host(h)
			if !r.View().Ready || !r.inspect(sim.ctx, func(s *dispatch.State) {
				for _, wk := range s.Ledger.Workers {
					if wk.State == "live" {
						live++
					}
				}
			}) || live < n {
				return false
			}
		}
		return true
	})
}

// spec returns a job of an organisation that runs for run milliseconds. echo names
// it in the workers' histories.
func spec(org, class, echo string, run int64) job.Spec {
	return job.Spec{
		Organisation: org, Class: class, Accelerators: 1, RunTime: run,
		Payload: standin.TaskSpec{RunTime: run, Echo: echo}.Payload(),
	}
}
