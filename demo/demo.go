package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/audit"
	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/standin"
)

const (
	gulf  = "gulf-a"
	luzon = "luzon-a"
	// workersEach is the number of workers of a data centre.
	workersPerDataCentre = 8
	// partialBound is the longest time that a broken gang's rest may run: the
	// gang lease, no longer renewed after half of it.
	maxPartialGang = 9 * time.Second
	// longWait is how long the demo's callers wait.
	callerWait = 20 * time.Second
)

// Result sums a demo up.
type Result struct {
	Checked, Broken int
}

// Run plays the day and writes progress and tables to w.
func Run(ctx context.Context, w io.Writer) (sum Result, err error) {
	c, err := newCluster()
	if err != nil {
		return sum, err
	}
	defer func() { err = errors.CombineErrors(err, c.stop()) }()
	startedAt := time.Now()
	sc := &scenario{cluster: c, progressf: func(format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%6.1fs  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
	}}
	for _, step := range []func(context.Context) error{
		sc.startHosts, sc.runSmallRequests, sc.runAtMostOnce, sc.reclaimGuarantee, sc.failGangMember, sc.runRender, sc.interruptLog, sc.replaceHost,
	} {
		if err := step(ctx); err != nil {
			return sum, err
		}
		sc.sampleFragmentation(time.Since(startedAt))
	}
	res := sc.check()
	sc.printTables(w)
	for _, b := range res.broken {
		_, _ = fmt.Fprintln(w, "broken:", b)
	}
	_, _ = fmt.Fprintf(w, "invariants: %d checked, %d broken\n", res.Checked, res.Broken)
	return res.Result, nil
}

// open starts the hosts and creates the organisations.
func (sc *scenario) startHosts(ctx context.Context) error {
	sc.progressf("starting a platform, %d workers in two data centres and four entry hosts", 2*workersPerDataCentre)
	for _, dc := range []string{gulf, luzon} {
		if err := sc.addWorkers(dc, workersPerDataCentre); err != nil {
			return err
		}
		for i := range 2 {
			if err := sc.addHost(ctx, fmt.Sprintf("%s-%d", dc, i), dc); err != nil {
				return err
			}
		}
	}
	if err := waitUntil(ctx, "all hosts see all workers live", func() bool {
		for _, h := range sc.hosts {
			if h.LiveWorkers(ctx) < 2*workersPerDataCentre {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	sc.progressf("operators create the organisations by a patch against version 0")
	return sc.submitPatch(ctx, "gulf-a-0", 0,
		organisationChange("skimworks", gulf, rack.Shape{rack.LevelWorker: 4}),
		organisationChange("feed-buyers", gulf, rack.Shape{rack.LevelFour: 1}),
		organisationChange("bureau", luzon, rack.Shape{rack.LevelRack: 1}),
		organisationChange("co-ops", gulf, rack.Shape{}),
		config.Change{SetClass: &config.NamedClass{Name: "routePlan", Class: config.Class{Urgent: true}}},
	)
}

// guarantee returns a change that sets an organisation.
func organisationChange(name, dc string, s rack.Shape) config.Change {
	return config.Change{SetOrganisation: &config.NamedOrganisation{
		Name: name, Organisation: config.Organisation{Guarantee: map[string]rack.Shape{dc: s}},
	}}
}

// smallWork plays assays and label reprints, which go straight to a worker.
func (sc *scenario) runSmallRequests(ctx context.Context) error {
	const each = 24
	sc.progressf("%d assays and %d label reprints, straight to workers", each, each)
	var wg sync.WaitGroup
	for i := range each {
		for _, k := range []struct{ org, class, host string }{
			{"feed-buyers", "assay", fmt.Sprintf("gulf-a-%d", i%2)}, {"bureau", "labelReprint", fmt.Sprintf("luzon-a-%d", i%2)},
		} {
			r := sc.newRequest(fmt.Sprintf("%s-%d", k.class, i), job.Spec{Organisation: k.org, Class: k.class, Accelerators: 1}, 80*time.Millisecond)
			wg.Add(1)
			go func() {
				defer wg.Done()
				sc.submit(ctx, k.host, r, callerWait)
			}()
		}
	}
	wg.Wait()
	return nil
}

// onceOnly plays a reconciliation and a barcode batch that each arrive twice,
// at two hosts at once.
func (sc *scenario) runAtMostOnce(ctx context.Context) error {
	sc.progressf("a lease reconciliation and a barcode batch, each sent to two hosts at once")
	var wg sync.WaitGroup
	for _, k := range []struct{ org, class, dc string }{
		{"skimworks", "leaseReconciliation", gulf}, {"bureau", "barcodeBatch", luzon},
	} {
		r := sc.newRequest(k.class, job.Spec{Organisation: k.org, Class: k.class, Key: k.class + "-1", AtMostOnce: true, Cores: 8}, 300*time.Millisecond)
		for i := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sc.submit(ctx, fmt.Sprintf("%s-%d", k.dc, i), r, callerWait)
			}()
		}
	}
	wg.Wait()
	return nil
}

// reclaim fills the data centre with a borrower's jobs and claims a guarantee.
func (sc *scenario) reclaimGuarantee(ctx context.Context) error {
	sc.progressf("co-ops borrow every worker of %s; then skimworks claims its guarantee for an urgent route plan", gulf)
	var borrowed []*request
	for i := range workersPerDataCentre {
		r := sc.newRequest(fmt.Sprintf("borrowed-%d", i), job.Spec{Organisation: "co-ops", Class: "batch", Accelerators: 8, Key: fmt.Sprintf("b-%d", i)}, 6*time.Second)
		sc.submit(ctx, "gulf-a-0", r, 0)
		borrowed = append(borrowed, r)
	}
	if err := waitUntil(ctx, "the borrowers run", func() bool { return sc.runningTasks("borrowed-") >= workersPerDataCentre }); err != nil {
		return err
	}
	sc.sampleFragmentation(0)
	plan := sc.newRequest("routePlan-0", job.Spec{
		Organisation: "skimworks", Class: "routePlan", Key: "plan-0", Members: 4, Adjacency: rack.AdjacencyRack, Accelerators: 8,
	}, 500*time.Millisecond)
	sc.submit(ctx, "gulf-a-1", plan, callerWait)
	sc.progressf("the route plan of 4 whole workers took %d ms from claim to answer, 500 ms of them running", plan.latency.Milliseconds())
	for _, r := range borrowed {
		sc.waitForJob(ctx, "gulf-a-0", r)
	}
	return nil
}

// brokenGang kills a worker under a gang.
func (sc *scenario) failGangMember(ctx context.Context) error {
	sc.progressf("a gang of 4 runs and one of its workers dies")
	r := sc.newRequest("routePlan-1", job.Spec{
		Organisation: "skimworks", Class: "routePlan", Key: "plan-1", Members: 4, Adjacency: rack.AdjacencyRack, Accelerators: 8,
	}, 2*time.Second)
	sc.submit(ctx, "gulf-a-0", r, 0)
	if err := waitUntil(ctx, "the gang runs", func() bool { return sc.runningTasks("routePlan-1") == 4 }); err != nil {
		return err
	}
	for name, w := range sc.workers {
		if runningOn(w, "routePlan-1") > 0 {
			w.Kill()
			w.Restart(name + ".2")
			break
		}
	}
	sc.waitForJob(ctx, "gulf-a-1", r)
	sc.progressf("the gang was stopped whole and ran again whole: %v after %d ms", r.Results, r.latency.Milliseconds())
	return nil
}

// renders plays a render that needs a whole rack next to small work.
func (sc *scenario) runRender(ctx context.Context) error {
	sc.progressf("a render on a whole rack of %s, with reprints borrowing in it", luzon)
	var wg sync.WaitGroup
	for i := range 6 {
		r := sc.newRequest(fmt.Sprintf("labelReprint-late-%d", i), job.Spec{Organisation: "bureau", Class: "labelReprint", Accelerators: 1}, 1500*time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			sc.submit(ctx, "luzon-a-0", r, callerWait)
		}()
	}
	if err := waitUntil(ctx, "the reprints run", func() bool { return sc.runningTasks("labelReprint-late-") >= 4 }); err != nil {
		return err
	}
	r := sc.newRequest("artworkRender", job.Spec{
		Organisation: "bureau", Class: "artworkRender", Key: "render-1", Members: 8, Adjacency: rack.AdjacencyRack, Accelerators: 8,
	}, time.Second)
	sc.submit(ctx, "luzon-a-1", r, callerWait)
	wg.Wait()
	return nil
}

// logOutage stops the log for a while.
func (sc *scenario) interruptLog(ctx context.Context) error {
	sc.progressf("the platform's log goes down for 4 s")
	sc.log.SetFaults(standin.LogFaults{Down: true})
	if err := waitUntil(ctx, "the hosts notice", func() bool { return sc.hosts["gulf-a-0"].View().LogDown }); err != nil {
		// A host that reads through its placer notices at its first append.
		return err
	}
	var wg sync.WaitGroup
	for i := range 8 {
		r := sc.newRequest(fmt.Sprintf("assay-cut-%d", i), job.Spec{Organisation: "feed-buyers", Class: "assay", Accelerators: 1}, 80*time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			sc.submit(ctx, "gulf-a-0", r, callerWait)
		}()
	}
	rejected := sc.newRequest("leaseReconciliation-cut", job.Spec{
		Organisation: "skimworks", Class: "leaseReconciliation", Key: "lease-2", AtMostOnce: true, Cores: 8,
	}, 100*time.Millisecond)
	sc.submit(ctx, "gulf-a-0", rejected, callerWait)
	wg.Wait()
	sc.progressf("assays were served; the once-only reconciliation was refused with %q", rejected.errorKind)
	retry.Pause(ctx, 4*time.Second)
	sc.log.SetFaults(standin.LogFaults{})
	if err := waitUntil(ctx, "the log is back", func() bool { return !sc.hosts["gulf-a-0"].View().LogDown }); err != nil {
		return err
	}
	sc.submit(ctx, "gulf-a-0", rejected, callerWait)
	sc.progressf("the log is back and the same reconciliation is %v", rejected.Results)
	return nil
}

// rolling drains a host while it has work, and asks for the outcome elsewhere.
func (sc *scenario) replaceHost(ctx context.Context) error {
	sc.progressf("an entry host is replaced while a plan runs; its caller asks another host")
	r := sc.newRequest("routePlan-2", job.Spec{
		Organisation: "skimworks", Class: "routePlan", Key: "plan-2", Members: 2, Accelerators: 8,
	}, 1500*time.Millisecond)
	sc.submit(ctx, "gulf-a-0", r, 0)
	if err := sc.removeHost("gulf-a-0"); err != nil {
		return err
	}
	if err := sc.addHost(ctx, "gulf-a-2", gulf); err != nil {
		return err
	}
	sc.waitForJob(ctx, "gulf-a-1", r)
	return nil
}

// running returns how many tasks run whose echo begins with prefix.
func (sc *scenario) runningTasks(prefix string) int {
	n := 0
	for _, w := range sc.workers {
		n += runningOn(w, prefix)
	}
	return n
}

// judged is a Result with the messages.
type checkResult struct {
	Result
	broken []string
}

// judge checks what was told against what ran, and collects the invariants
// that the hosts have checked.
func (sc *scenario) check() checkResult {
	var runs []standin.Interval
	for _, w := range sc.workers {
		runs = append(runs, w.History()...)
	}
	told := make([]*audit.Told, len(sc.requests))
	for i, r := range sc.requests {
		told[i] = &r.Told
	}
	rep := audit.Check(told, runs, maxPartialGang)
	j := checkResult{Result: Result{Checked: rep.Checked}, broken: rep.Broken}
	for name, h := range sc.hosts {
		v := h.View()
		j.Checked += v.Checked
		if v.Broken > 0 {
			j.broken = append(j.broken, fmt.Sprintf("host %s broke %d invariants of its ledger", name, v.Broken))
		}
	}
	for _, r := range sc.requests {
		j.Checked++
		if len(r.Results) == 0 || r.Results[len(r.Results)-1] != job.Completed {
			j.broken = append(j.broken, fmt.Sprintf("request %s has not completed: %v %v", r.Echo, r.Results, r.Errors))
		}
	}
	j.Broken = len(j.broken)
	return j
}
