package coordinator_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
)

// unevenKind describes the jobs of one priority of unevenLoad.
type unevenKind struct {
	// rate is the number of jobs a second.
	rate float64
	gang bool
	// width is the mean number of tasks before it is bounded by maxWidth.
	width, maxWidth int
	// cores, memory (GiB) and accelerators are what a task needs; one of accelerators is chosen.
	cores, memory int64
	accelerators  []int64
	// work is the mean run time of a task at pace 1, in milliseconds.
	work float64
	// sameRack, checkpoints and stragglers are probabilities: of gangs and jobs that have these
	// properties, and of tasks that take stragglerFactor times as long.
	sameRack, checkpoints, stragglers float64
	// estimateDeviation is the standard deviation of the logarithm of the estimate's error.
	estimateDeviation float64
	stretch           float64
	slack             int64
}

// unevenKinds has the kinds of unevenLoad by priority. A same-rack gang of priority 1 needs a rack
// without another one: a worker has memory for one member, and a rack has 20 workers.
var unevenKinds = []unevenKind{
	{
		rate: 1.4, gang: true, width: 5, maxWidth: 12, cores: 15, memory: 22, accelerators: []int64{1, 2, 4, 8, 8}, work: 2100,
		sameRack: 0.8, estimateDeviation: 0.2, stretch: 1.5, slack: 500,
	},
	{
		rate: 0.2, gang: true, width: 13, maxWidth: 20, cores: 52, memory: 140, accelerators: []int64{1, 2, 4, 8, 8}, work: 9400,
		sameRack: 0.6, checkpoints: 0.45, estimateDeviation: 0.9, stretch: 3, slack: 1200,
	},
	{
		rate: 0.3, width: 39, maxWidth: 100, cores: 11, memory: 23, accelerators: []int64{1}, work: 5200,
		checkpoints: 0.45, stragglers: 0.03, estimateDeviation: 0.9, stretch: 3, slack: 3000,
	},
}

const (
	// stragglerFactor is how many times longer a straggler takes than the other tasks of its job.
	stragglerFactor = 7
	// workDeviation and widthDeviation are the standard deviations of the logarithms of the work
	// and the width of jobs.
	workDeviation, widthDeviation = 0.5, 0.5
	// unevenFrom and unevenUntil bound the arrivals, in milliseconds. By unevenFrom the coordinator
	// knows all workers.
	unevenFrom, unevenUntil = 1000, 21_000
	// unevenGuarantee is the guarantee of the organisation crew, a fifth of the accelerators.
	unevenGuarantee = 96
)

// unevenLoad returns a scenario of workers with three paces, jobs of three priorities and
// organisations that compete for them, and estimates that can't be trusted.
func unevenLoad(seed uint64) simulation.Scenario { return unevenLoadTimes(seed, 1) }

// unevenLoadTimes returns unevenLoad with the given multiple of its jobs a second.
func unevenLoadTimes(seed uint64, load float64) simulation.Scenario {
	r := rand.New(rand.NewPCG(seed, 2))
	p := simulation.Scenario{
		Seed: seed, Workers: 60, RackSize: 20, Capacity: jobspec.Resources{Cores: 128_000, Memory: 256 << 10, Accelerators: 8},
		Configuration: configuration(unevenGuarantee),
	}
	for range p.Workers {
		p.Paces = append(p.Paces, []float64{0.6, 1, 1.6}[r.IntN(3)])
	}
	for _, o := range []string{"guest", "visitor"} {
		p.Configuration.Organisations[o] = &queueconfig.Organisation{Name: o}
		p.Configuration.Keys["key-"+o] = o
	}
	for priority := range unevenKinds {
		k := &unevenKinds[priority]
		name := fmt.Sprint("p", priority)
		p.Configuration.Routes[name] = &queueconfig.Route{
			Name: name, Host: "host", Prefix: "/" + name + "/", Service: service, Priority: priority, MaxAttempts: 3, Stretch: k.stretch, Slack: k.slack,
		}
		interval := 1000 / (load * k.rate)
		for at := unevenFrom + interval*r.ExpFloat64(); at < unevenUntil; at += interval * r.ExpFloat64() {
			a := k.arrival(r, priority, len(p.Jobs))
			a.At = int64(at)
			p.Jobs = append(p.Jobs, a)
		}
	}
	p.Configuration.Index()
	slices.SortStableFunc(p.Jobs, func(a, b simulation.Arrival) int { return cmp.Compare(a.At, b.At) })
	return p
}

// arrival returns a job of kind k.
func (k *unevenKind) arrival(r *rand.Rand, priority, number int) simulation.Arrival {
	work := int64(lognormal(r, k.work, workDeviation))
	s := gang(fmt.Sprintf("j%03d", number), min(k.maxWidth, max(1, int(math.Round(lognormal(r, float64(k.width), widthDeviation))))),
		k.accelerators[r.IntN(len(k.accelerators))], max(1, int64(float64(work)*math.Exp(k.estimateDeviation*r.NormFloat64()))), priority)
	s.Organisation = []string{"crew", "guest", "visitor"}[r.IntN(3)]
	s.Stretch, s.Slack = k.stretch, k.slack
	step := &s.Steps[0]
	step.Need.Cores, step.Need.Memory = k.cores*1000, k.memory<<10
	step.Gang, step.SameRack, step.Checkpoints = k.gang, r.Float64() < k.sameRack, r.Float64() < k.checkpoints
	a := simulation.Arrival{Spec: s}
	for range step.Tasks {
		w := work
		if r.Float64() < k.stragglers {
			w *= stragglerFactor
		}
		a.TaskRunTimes = append(a.TaskRunTimes, w)
	}
	return a
}

// lognormal returns a random number with the given mean, whose logarithm has the given standard
// deviation.
func lognormal(r *rand.Rand, mean, deviation float64) float64 {
	return mean * math.Exp(deviation*r.NormFloat64()-deviation*deviation/2)
}

// served sums up the results of jobs.
type served struct {
	jobs, onTime, late, veryLate, unserved int
	wasted                                 float64
}

// add adds the result of a job. It is very late if it took more than twice its objective.
func (s *served) add(r *simulation.Result) {
	s.jobs++
	s.wasted += r.Wasted
	switch {
	case r.Ended < 0:
		s.unserved++
	case r.OnTime:
		s.onTime++
	default:
		s.late++
		if r.Ended > 2*r.Objective {
			s.veryLate++
		}
	}
}

// merge adds the sums of t.
func (s *served) merge(t *served) {
	s.jobs, s.onTime, s.late, s.veryLate = s.jobs+t.jobs, s.onTime+t.onTime, s.late+t.late, s.veryLate+t.veryLate
	s.unserved, s.wasted = s.unserved+t.unserved, s.wasted+t.wasted
}

func (s *served) String() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, s.jobs)) }
	return fmt.Sprintf("%3d jobs: on time %5.1f %%, late %5.1f %% (more than twice the objective %5.1f %%), unserved %4.1f %%, wasted %6.0f core seconds",
		s.jobs, share(s.onTime), share(s.late), share(s.veryLate), share(s.unserved), s.wasted)
}

// Guards against jobs that never end and orders that break the rules under such a load. The figures
// in the log show what callers get from the policy. At twice the load, work of priorities 1 and 2 is
// late as well.
func TestUnevenLoad(t *testing.T) {
	const seeds = 3
	for _, load := range []struct {
		name     string
		scenario func(seed uint64) simulation.Scenario
	}{
		{"1", unevenLoad},
		{"2", func(seed uint64) simulation.Scenario { return unevenLoadTimes(seed, 2) }},
	} {
		total := make([]served, len(unevenKinds))
		for seed := range uint64(seeds) {
			sums := serve(t, load.scenario(seed))
			for priority := range sums {
				t.Logf("load %s, seed %d, priority %d: %v", load.name, seed, priority, &sums[priority])
				total[priority].merge(&sums[priority])
			}
		}
		for priority := range total {
			t.Logf("load %s, all seeds, priority %d: %v", load.name, priority, &total[priority])
		}
	}
}

// serve runs a scenario and returns its results by priority.
func serve(t *testing.T, p simulation.Scenario) []served {
	t.Helper()
	sums := make([]served, len(unevenKinds))
	w := runScenario(t, p, 600_000)
	for i, r := range w.Results() {
		assert.True(t, r.State.Ended(), "seed %d: %+v", p.Seed, r)
		sums[w.Jobs[i].Spec.Priority].add(&r)
	}
	return sums
}
