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
	workersEach = 8
	// partialBound is the longest time that a broken gang's rest may run: the
	// gang lease, no longer renewed after half of it.
	partialBound = 9 * time.Second
	// longWait is how long the demo's callers wait.
	longWait = 20 * time.Second
)

// Result sums a demo up.
type Result struct {
	Checked, Broken int
}

// Run plays the day and writes progress and tables to w.
func Run(ctx context.Context, w io.Writer) (sum Result, err error) {
	y, err := newYard()
	if err != nil {
		return sum, err
	}
	defer func() { err = errors.CombineErrors(err, y.stop()) }()
	began := time.Now()
	d := &day{yard: y, out: func(format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%6.1fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}}
	for _, act := range []func(context.Context) error{
		d.open, d.smallWork, d.onceOnly, d.reclaim, d.brokenGang, d.renders, d.logOutage, d.rolling,
	} {
		if err := act(ctx); err != nil {
			return sum, err
		}
		d.sample(time.Since(began))
	}
	res := d.judge()
	d.table(w)
	for _, b := range res.broken {
		_, _ = fmt.Fprintln(w, "broken:", b)
	}
	_, _ = fmt.Fprintf(w, "invariants: %d checked, %d broken\n", res.Checked, res.Broken)
	return res.Result, nil
}

// open starts the hosts and creates the organisations.
func (d *day) open(ctx context.Context) error {
	d.out("starting a platform, %d workers in two data centres and four entry hosts", 2*workersEach)
	for _, dc := range []string{gulf, luzon} {
		if err := d.addWorkers(dc, workersEach); err != nil {
			return err
		}
		for i := range 2 {
			if err := d.addHost(ctx, fmt.Sprintf("%s-%d", dc, i), dc); err != nil {
				return err
			}
		}
	}
	if err := until(ctx, "all hosts see all workers live", func() bool {
		for _, h := range d.hosts {
			if h.LiveWorkers(ctx) < 2*workersEach {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	d.out("operators create the organisations by a patch against version 0")
	return d.patch(ctx, "gulf-a-0", 0,
		guarantee("skimworks", gulf, rack.Shape{rack.LevelWorker: 4}),
		guarantee("feed-buyers", gulf, rack.Shape{rack.LevelFour: 1}),
		guarantee("bureau", luzon, rack.Shape{rack.LevelRack: 1}),
		guarantee("co-ops", gulf, rack.Shape{}),
		config.Change{SetClass: &config.NamedClass{Name: "routePlan", Class: config.Class{Urgent: true}}},
	)
}

// guarantee returns a change that sets an organisation.
func guarantee(name, dc string, s rack.Shape) config.Change {
	return config.Change{SetOrganisation: &config.NamedOrganisation{
		Name: name, Organisation: config.Organisation{Guarantee: map[string]rack.Shape{dc: s}},
	}}
}

// smallWork plays assays and label reprints, which go straight to a worker.
func (d *day) smallWork(ctx context.Context) error {
	const each = 24
	d.out("%d assays and %d label reprints, straight to workers", each, each)
	var wg sync.WaitGroup
	for i := range each {
		for _, k := range []struct{ org, class, host string }{
			{"feed-buyers", "assay", fmt.Sprintf("gulf-a-%d", i%2)}, {"bureau", "labelReprint", fmt.Sprintf("luzon-a-%d", i%2)},
		} {
			r := d.newRequest(fmt.Sprintf("%s-%d", k.class, i), job.Spec{Organisation: k.org, Class: k.class, Accelerators: 1}, 80*time.Millisecond)
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.submit(ctx, k.host, r, longWait)
			}()
		}
	}
	wg.Wait()
	return nil
}

// onceOnly plays a reconciliation and a barcode batch that each arrive twice,
// at two hosts at once.
func (d *day) onceOnly(ctx context.Context) error {
	d.out("a lease reconciliation and a barcode batch, each sent to two hosts at once")
	var wg sync.WaitGroup
	for _, k := range []struct{ org, class, dc string }{
		{"skimworks", "leaseReconciliation", gulf}, {"bureau", "barcodeBatch", luzon},
	} {
		r := d.newRequest(k.class, job.Spec{Organisation: k.org, Class: k.class, Key: k.class + "-1", AtMostOnce: true, Cores: 8}, 300*time.Millisecond)
		for i := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.submit(ctx, fmt.Sprintf("%s-%d", k.dc, i), r, longWait)
			}()
		}
	}
	wg.Wait()
	return nil
}

// reclaim fills the data centre with a borrower's jobs and claims a guarantee.
func (d *day) reclaim(ctx context.Context) error {
	d.out("co-ops borrow every worker of %s; then skimworks claims its guarantee for an urgent route plan", gulf)
	var borrowed []*request
	for i := range workersEach {
		r := d.newRequest(fmt.Sprintf("borrowed-%d", i), job.Spec{Organisation: "co-ops", Class: "batch", Accelerators: 8, Key: fmt.Sprintf("b-%d", i)}, 6*time.Second)
		d.submit(ctx, "gulf-a-0", r, 0)
		borrowed = append(borrowed, r)
	}
	if err := until(ctx, "the borrowers run", func() bool { return d.running("borrowed-") >= workersEach }); err != nil {
		return err
	}
	d.sample(0)
	plan := d.newRequest("routePlan-0", job.Spec{
		Organisation: "skimworks", Class: "routePlan", Key: "plan-0", Members: 4, Adjacency: rack.AdjacencyRack, Accelerators: 8,
	}, 500*time.Millisecond)
	d.submit(ctx, "gulf-a-1", plan, longWait)
	d.out("the route plan of 4 whole workers took %d ms from claim to answer, 500 ms of them running", plan.took.Milliseconds())
	for _, r := range borrowed {
		d.wait(ctx, "gulf-a-0", r)
	}
	return nil
}

// brokenGang kills a worker under a gang.
func (d *day) brokenGang(ctx context.Context) error {
	d.out("a gang of 4 runs and one of its workers dies")
	r := d.newRequest("routePlan-1", job.Spec{
		Organisation: "skimworks", Class: "routePlan", Key: "plan-1", Members: 4, Adjacency: rack.AdjacencyRack, Accelerators: 8,
	}, 2*time.Second)
	d.submit(ctx, "gulf-a-0", r, 0)
	if err := until(ctx, "the gang runs", func() bool { return d.running("routePlan-1") == 4 }); err != nil {
		return err
	}
	for name, w := range d.workers {
		if runs(w, "routePlan-1") > 0 {
			w.Kill()
			w.Restart(name + ".2")
			break
		}
	}
	d.wait(ctx, "gulf-a-1", r)
	d.out("the gang was stopped whole and ran again whole: %v after %d ms", r.Results, r.took.Milliseconds())
	return nil
}

// renders plays a render that needs a whole rack next to small work.
func (d *day) renders(ctx context.Context) error {
	d.out("a render on a whole rack of %s, with reprints borrowing in it", luzon)
	var wg sync.WaitGroup
	for i := range 6 {
		r := d.newRequest(fmt.Sprintf("labelReprint-late-%d", i), job.Spec{Organisation: "bureau", Class: "labelReprint", Accelerators: 1}, 1500*time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.submit(ctx, "luzon-a-0", r, longWait)
		}()
	}
	if err := until(ctx, "the reprints run", func() bool { return d.running("labelReprint-late-") >= 4 }); err != nil {
		return err
	}
	r := d.newRequest("artworkRender", job.Spec{
		Organisation: "bureau", Class: "artworkRender", Key: "render-1", Members: 8, Adjacency: rack.AdjacencyRack, Accelerators: 8,
	}, time.Second)
	d.submit(ctx, "luzon-a-1", r, longWait)
	wg.Wait()
	return nil
}

// logOutage stops the log for a while.
func (d *day) logOutage(ctx context.Context) error {
	d.out("the platform's log goes down for 4 s")
	d.log.SetFaults(standin.LogFaults{Down: true})
	if err := until(ctx, "the hosts notice", func() bool { return d.hosts["gulf-a-0"].View().LogDown }); err != nil {
		// A host that reads through its placer notices at its first append.
		return err
	}
	var wg sync.WaitGroup
	for i := range 8 {
		r := d.newRequest(fmt.Sprintf("assay-cut-%d", i), job.Spec{Organisation: "feed-buyers", Class: "assay", Accelerators: 1}, 80*time.Millisecond)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.submit(ctx, "gulf-a-0", r, longWait)
		}()
	}
	refused := d.newRequest("leaseReconciliation-cut", job.Spec{
		Organisation: "skimworks", Class: "leaseReconciliation", Key: "lease-2", AtMostOnce: true, Cores: 8,
	}, 100*time.Millisecond)
	d.submit(ctx, "gulf-a-0", refused, longWait)
	wg.Wait()
	d.out("assays were served; the once-only reconciliation was refused with %q", refused.note)
	retry.Pause(ctx, 4*time.Second)
	d.log.SetFaults(standin.LogFaults{})
	if err := until(ctx, "the log is back", func() bool { return !d.hosts["gulf-a-0"].View().LogDown }); err != nil {
		return err
	}
	d.submit(ctx, "gulf-a-0", refused, longWait)
	d.out("the log is back and the same reconciliation is %v", refused.Results)
	return nil
}

// rolling drains a host while it has work, and asks for the outcome elsewhere.
func (d *day) rolling(ctx context.Context) error {
	d.out("an entry host is replaced while a plan runs; its caller asks another host")
	r := d.newRequest("routePlan-2", job.Spec{
		Organisation: "skimworks", Class: "routePlan", Key: "plan-2", Members: 2, Accelerators: 8,
	}, 1500*time.Millisecond)
	d.submit(ctx, "gulf-a-0", r, 0)
	if err := d.removeHost("gulf-a-0"); err != nil {
		return err
	}
	if err := d.addHost(ctx, "gulf-a-2", gulf); err != nil {
		return err
	}
	d.wait(ctx, "gulf-a-1", r)
	return nil
}

// running returns how many tasks run whose echo begins with prefix.
func (d *day) running(prefix string) int {
	n := 0
	for _, w := range d.workers {
		n += runs(w, prefix)
	}
	return n
}

// judged is a Result with the messages.
type judged struct {
	Result
	broken []string
}

// judge checks what was told against what ran, and collects the invariants
// that the hosts have checked.
func (d *day) judge() judged {
	var runs []standin.Interval
	for _, w := range d.workers {
		runs = append(runs, w.History()...)
	}
	told := make([]*audit.Told, len(d.requests))
	for i, r := range d.requests {
		told[i] = &r.Told
	}
	rep := audit.Check(told, runs, partialBound)
	j := judged{Result: Result{Checked: rep.Checked}, broken: rep.Broken}
	for name, h := range d.hosts {
		v := h.View()
		j.Checked += v.Checked
		if v.Broken > 0 {
			j.broken = append(j.broken, fmt.Sprintf("host %s broke %d invariants of its ledger", name, v.Broken))
		}
	}
	for _, r := range d.requests {
		j.Checked++
		if len(r.Results) == 0 || r.Results[len(r.Results)-1] != job.Completed {
			j.broken = append(j.broken, fmt.Sprintf("request %s has not completed: %v %v", r.Echo, r.Results, r.Errors))
		}
	}
	j.Broken = len(j.broken)
	return j
}
