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
	// workersPerDataCentre fills one rack of each data centre.
	workersPerDataCentre = 8
	// maxPartialRunTime is the longest time that the remaining members of a gang
	// may run after one was lost. Their leases are renewed for at most half the
	// gang lease of 6 s, and then last for the whole gang lease.
	maxPartialRunTime = 9 * time.Second
	// callerWait is how long callers wait for the outcome of a job.
	callerWait = 20 * time.Second
)

// Result has the number of checked and of broken invariants.
type Result struct {
	Checked, Broken int
}

// Run runs the demo and writes progress and tables to w. A broken invariant is
// reported in the result, not as an error.
func Run(ctx context.Context, w io.Writer) (result Result, err error) {
	c, err := newCluster()
	if err != nil {
		return result, err
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
			return result, err
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

// startHosts starts the workers and entry hosts and creates the organisations.
func (sc *scenario) startHosts(ctx context.Context) error {
	sc.progressf("starting the platform, %d workers in two data centres and four entry hosts", 2*workersPerDataCentre)
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
	if err := waitUntil(ctx, "all hosts list all workers as live", func() bool {
		for _, h := range sc.hosts {
			if h.LiveWorkers(ctx) < 2*workersPerDataCentre {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	sc.progressf("an operator creates the organisations by a patch against configuration version 0")
	return sc.submitPatch(ctx, "gulf-a-0", 0,
		organisationChange("skimworks", gulf, rack.Shape{rack.LevelWorker: 4}),
		organisationChange("feed-buyers", gulf, rack.Shape{rack.LevelFour: 1}),
		organisationChange("bureau", luzon, rack.Shape{rack.LevelRack: 1}),
		organisationChange("co-ops", gulf, rack.Shape{}),
		config.Change{SetClass: &config.NamedClass{Name: "routePlan", Class: config.Class{Urgent: true}}},
	)
}

// organisationChange returns a change that sets an organisation with guarantee s in
// data centre dc.
func organisationChange(name, dc string, s rack.Shape) config.Change {
	return config.Change{SetOrganisation: &config.NamedOrganisation{
		Name: name, Organisation: config.Organisation{Guarantee: map[string]rack.Shape{dc: s}},
	}}
}

// runSmallRequests submits assays and label reprints, which hosts send straight to a
// worker.
func (sc *scenario) runSmallRequests(ctx context.Context) error {
	const perClass = 24
	sc.progressf("%d assays and %d label reprints, sent straight to workers", perClass, perClass)
	var wg sync.WaitGroup
	for i := range perClass {
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

// runAtMostOnce submits a reconciliation and a barcode batch that must run at most
// once, each to two hosts at the same time.
func (sc *scenario) runAtMostOnce(ctx context.Context) error {
	sc.progressf("a lease reconciliation and a barcode batch, each sent to two hosts at the same time")
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

// reclaimGuarantee fills a data centre with jobs of an organisation without a
// guarantee and then submits a job that needs the guarantee of another.
func (sc *scenario) reclaimGuarantee(ctx context.Context) error {
	sc.progressf("co-ops borrow every worker of %s; then skimworks reclaims its guarantee for an urgent route plan", gulf)
	var borrowers []*request
	for i := range workersPerDataCentre {
		r := sc.newRequest(fmt.Sprintf("borrowed-%d", i), job.Spec{Organisation: "co-ops", Class: "batch", Accelerators: 8, Key: fmt.Sprintf("b-%d", i)}, 6*time.Second)
		sc.submit(ctx, "gulf-a-0", r, 0)
		borrowers = append(borrowers, r)
	}
	if err := waitUntil(ctx, "the borrowing jobs run", func() bool { return sc.runningTasks("borrowed-") >= workersPerDataCentre }); err != nil {
		return err
	}
	sc.sampleFragmentation(0)
	plan := sc.newRequest("routePlan-0", job.Spec{
		Organisation: "skimworks", Class: "routePlan", Key: "plan-0", Members: 4, Adjacency: rack.AdjacencyRack, Accelerators: 8,
	}, 500*time.Millisecond)
	sc.submit(ctx, "gulf-a-1", plan, callerWait)
	sc.progressf("the route plan on 4 whole workers took %d ms from submission to answer, including a run time of 500 ms", plan.latency.Milliseconds())
	for _, r := range borrowers {
		sc.waitForJob(ctx, "gulf-a-0", r)
	}
	return nil
}

// failGangMember kills and restarts a worker that runs a member of a gang. The whole
// gang must run again.
func (sc *scenario) failGangMember(ctx context.Context) error {
	sc.progressf("a gang of 4 members runs and one of its workers fails")
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
	sc.progressf("the whole gang was stopped and ran again: %v after %d ms", r.Results, r.latency.Milliseconds())
	return nil
}

// runRender submits a render that needs a whole rack on which small requests run.
func (sc *scenario) runRender(ctx context.Context) error {
	sc.progressf("a render on a whole rack of %s, on which reprints borrow slots", luzon)
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

// interruptLog makes the log unavailable for a while. Small requests are still
// served, and a request that must run at most once is rejected.
func (sc *scenario) interruptLog(ctx context.Context) error {
	sc.progressf("the log of the platform is unavailable for 4 s")
	sc.log.SetFaults(standin.LogFaults{Down: true})
	if err := waitUntil(ctx, "the host detects that the log is unavailable", func() bool { return sc.hosts["gulf-a-0"].View().LogDown }); err != nil {
		// The wait can time out: a host that reads the log through its placer
		// detects the outage only at its first append.
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
	sc.progressf("assays were served; the at-most-once reconciliation was rejected with %q", rejected.errorKind)
	retry.Pause(ctx, 4*time.Second)
	sc.log.SetFaults(standin.LogFaults{})
	if err := waitUntil(ctx, "the log is available again", func() bool { return !sc.hosts["gulf-a-0"].View().LogDown }); err != nil {
		return err
	}
	sc.submit(ctx, "gulf-a-0", rejected, callerWait)
	sc.progressf("the log is available again and the same reconciliation is %v", rejected.Results)
	return nil
}

// replaceHost drains and replaces an entry host while a job that it accepted runs,
// and queries another host for the outcome.
func (sc *scenario) replaceHost(ctx context.Context) error {
	sc.progressf("an entry host is replaced while a route plan runs; its caller queries another host")
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

// runningTasks returns the number of running tasks whose echo begins with prefix.
func (sc *scenario) runningTasks(prefix string) int {
	n := 0
	for _, w := range sc.workers {
		n += runningOn(w, prefix)
	}
	return n
}

// checkResult is a Result with one message per broken invariant.
type checkResult struct {
	Result
	broken []string
}

// check compares the outcomes reported to callers with the histories of the workers,
// adds the invariants that the hosts checked themselves, and requires that every
// request completed in the end.
func (sc *scenario) check() checkResult {
	var runs []standin.Interval
	for _, w := range sc.workers {
		runs = append(runs, w.History()...)
	}
	histories := make([]*audit.RequestHistory, len(sc.requests))
	for i, r := range sc.requests {
		histories[i] = &r.RequestHistory
	}
	report := audit.Check(histories, runs, maxPartialRunTime)
	res := checkResult{Result: Result{Checked: report.Checked}, broken: report.Violations}
	for name, h := range sc.hosts {
		v := h.View()
		res.Checked += v.Checked
		if v.Broken > 0 {
			res.broken = append(res.broken, fmt.Sprintf("host %s broke %d invariants of its ledger", name, v.Broken))
		}
	}
	for _, r := range sc.requests {
		res.Checked++
		if len(r.Results) == 0 || r.Results[len(r.Results)-1] != job.Completed {
			res.broken = append(res.broken, fmt.Sprintf("request %s has not completed: %v %v", r.Echo, r.Results, r.Errors))
		}
	}
	res.Broken = len(res.broken)
	return res
}
