package workload

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
)

// arrival is one generated job.
type arrival struct {
	// arrivedAt is in milliseconds from the start of the load until the job is
	// submitted, and then the virtual time of the submission.
	arrivedAt int64
	class     *class
	spec      job.Spec
	// runTime is the true run time, in milliseconds.
	runTime int64
	// unplaceable is set for a job that can never be placed.
	unplaceable bool
}

// generate returns the load in order of arrival. The arrivals of each class form
// a Poisson process, to which the bursts are added.
func generate(s Settings) []arrival {
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	end := s.Days * 24 * 3600 * 1000
	var all []arrival
	for i := range classes {
		c := &classes[i]
		mean := meanSlotTime(c)
		meanInterval := mean / (c.slotTimeShare * s.TargetUtilisation * float64(s.Workers*rack.SlotsPerWorker))
		for at := exponential(rnd, meanInterval); at < end; at += exponential(rnd, meanInterval) {
			all = append(all, s.newArrival(rnd, c, int64(at)))
		}
	}
	all = append(all, s.bursts(rnd, end)...)
	all = slices.DeleteFunc(all, func(a arrival) bool { return s.OnlyOrganisation != "" && a.spec.Organisation != s.OnlyOrganisation })
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.arrivedAt - b.arrivedAt) })
	return all
}

// bursts returns the bursts, alternately of small and of large jobs.
func (s Settings) bursts(rnd *rand.Rand, end float64) []arrival {
	const (
		hourMS = 3600 * 1000
		// burstLengthMS is the time over which the jobs of a burst arrive.
		burstLengthMS = 20_000
		// largeDivisor divides BurstSize for a burst of large jobs.
		largeDivisor = 8
	)
	var all []arrival
	smallBurst := true
	for at := s.BurstIntervalHours * hourMS; at < end; at += s.BurstIntervalHours * hourMS {
		n, names := s.BurstSize, []string{"assay", "reprint"}
		if !smallBurst {
			n, names = max(1, s.BurstSize/largeDivisor), []string{"render", "routePlan"}
		}
		c := classByName(names[rnd.IntN(len(names))])
		for range n {
			all = append(all, s.newArrival(rnd, c, int64(at)+rnd.Int64N(burstLengthMS)))
		}
		smallBurst = !smallBurst
	}
	return all
}

// newArrival draws one job of class c. The order of the draws decides the load of
// a seed.
func (s Settings) newArrival(rnd *rand.Rand, c *class, arrivedAt int64) arrival {
	a := arrival{arrivedAt: arrivedAt, class: c}
	members, slots := c.members[rnd.IntN(len(c.members))], c.slots[rnd.IntN(len(c.slots))]
	if c.name == "render" {
		// The members of a render, of which there are up to 64, use one slot each.
		// Members of other classes use the number of slots that was drawn.
		slots = 1
	}
	a.runTime = max(1000, int64(c.medianRunMinutes*60_000*math.Exp(runSigma*rnd.NormFloat64())))
	declaredFactor := math.Exp((2*rnd.Float64() - 1) * math.Log(s.MaxRunTimeError))
	a.spec = job.Spec{
		Organisation: c.organisation, Class: c.name, AtMostOnce: c.atMostOnce, Urgent: c.urgent, Members: members,
		Adjacency: c.adjacency, Accelerators: slots, RunTime: min(int64(float64(a.runTime)*declaredFactor), job.MaxRunTime.Milliseconds()),
	}
	if rnd.Float64() < s.UnplaceableShare {
		// Nine members of one slot each do not fit on one worker of eight slots.
		a.unplaceable, a.spec.Members, a.spec.Adjacency = true, 9, rack.AdjacencyWorker
		a.spec.Accelerators = 1
	}
	return a
}

// runSigma is the standard deviation of the logarithm of the run times, which are
// log-normal.
const runSigma = 0.7

// meanSlotTime returns the mean slot time of a job of class c, that is members
// times slots times run time, in slot-milliseconds.
func meanSlotTime(c *class) float64 {
	mean := func(xs []int) float64 {
		n := 0
		for _, x := range xs {
			n += x
		}
		return float64(n) / float64(len(xs))
	}
	return mean(c.members) * mean(c.slots) * c.medianRunMinutes * 60_000 * math.Exp(runSigma*runSigma/2)
}

// exponential draws from the exponential distribution with the given mean.
func exponential(rnd *rand.Rand, mean float64) float64 { return rnd.ExpFloat64() * mean }

// classByName returns the class called name, or nil.
func classByName(name string) *class {
	for i := range classes {
		if classes[i].name == name {
			return &classes[i]
		}
	}
	return nil
}
