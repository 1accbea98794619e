package workload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// Quantiles are quantiles of a duration, in seconds.
type Quantiles struct {
	P50, P99, Max float64
}

// GroupResult has the times of the completed jobs of a class or organisation.
type GroupResult struct {
	Jobs int
	// QueueTime is the time from the arrival to the first start.
	QueueTime Quantiles
	// CompletionTime is the time from the arrival to the outcome.
	CompletionTime Quantiles
}

// Result has the measures of a run.
type Result struct {
	// Classes is keyed by the name of the class, Organisations by that of the
	// organisation.
	Classes, Organisations map[string]GroupResult
	// LargestGangQueueTime is the queue time of the largest gangs, those of 64
	// members.
	LargestGangQueueTime Quantiles
	// Fragmentation is the mean share of the free slots that cells of a level
	// cannot use, by level. Samples with fewer free slots than one rack has are
	// left out.
	Fragmentation [rack.NumLevels]float64
	// LargestBlock is the mean size of the largest free cell, as a share of a
	// rack. It leaves out the same samples as Fragmentation, so a whole rack would
	// be free if all free slots were adjacent.
	LargestBlock float64
	// Utilisation is the mean share of busy slots.
	Utilisation float64
	// LostSlotHours is the work of stopped or failed tasks whose progress was not
	// saved.
	LostSlotHours float64
	// Moved is the number of jobs that were migrated to free a whole rack.
	Moved int
	// Outcomes is the number of jobs by result.
	Outcomes map[job.Result]int
	// Open is the number of jobs without an outcome at the end.
	Open int
	// Events is the number of events that the state machine processed.
	Events int
}

// sampler accumulates samples.
type sampler struct {
	// until is the end of the load, after which no samples are taken.
	until int64
	// freeSamples is the number of samples with at least one rack's slots free.
	samples, freeSamples int
	// busy, largest and fragmentation are sums of the sampled shares.
	busy, largest float64
	fragmentation [rack.NumLevels]float64
}

// sample takes a sample of the cells, but none before twice the warm-up or after the
// end of the load.
func (r *runner) sample() {
	if r.now > r.sampler.until || r.now < 2*warmUpMS {
		return
	}
	var f rack.Forest
	plan := r.state.Ledger.Plan(dataCentre)
	slots := 0
	for _, w := range r.state.Ledger.ClonedWorkers(dataCentre) {
		if w.State == record.Live {
			f.Add(rack.Node{Name: w.Name, Rack: w.Rack, Slots: w.Slots, Used: plan.AllocatedSlots(w.Name)})
			slots += w.Slots
		}
	}
	p := &r.sampler
	p.samples++
	p.busy += float64(r.busySlots) / float64(slots)
	free := f.Free()
	if free.Slots() < rack.LevelRack.Slots() {
		return
	}
	p.freeSamples++
	for l := range p.fragmentation {
		p.fragmentation[l] += free.Fragmentation(rack.Level(l))
	}
	largest := rack.LevelSlot
	for l := rack.LevelSlot; l < rack.NumLevels; l++ {
		if free.Available(l) > 0 {
			largest = l
		}
	}
	p.largest += float64(largest.Slots()) / float64(rack.LevelRack.Slots())
}

// result returns the measures of the run.
func (r *runner) result() Result {
	res := Result{
		Classes: map[string]GroupResult{}, Organisations: map[string]GroupResult{},
		Outcomes: map[job.Result]int{}, LostSlotHours: float64(r.lostWork) / 3_600_000, Events: r.events,
		Moved: r.moved,
	}
	byClass, byOrg := map[string][]*simulatedJob{}, map[string][]*simulatedJob{}
	var largest []*simulatedJob
	for _, j := range r.allJobs {
		if j.outcome == "" {
			res.Open++
		} else {
			res.Outcomes[j.outcome]++
		}
		if j.unplaceable || j.outcome != job.Completed {
			continue
		}
		byClass[j.class.name] = append(byClass[j.class.name], j)
		byOrg[j.class.organisation] = append(byOrg[j.class.organisation], j)
		if j.spec.Members == 64 {
			largest = append(largest, j)
		}
	}
	for c, jobs := range byClass {
		res.Classes[c] = summarise(jobs)
	}
	for o, jobs := range byOrg {
		res.Organisations[o] = summarise(jobs)
	}
	res.LargestGangQueueTime = quantiles(largest, queueTime)
	if p := &r.sampler; p.samples > 0 {
		res.Utilisation = p.busy / float64(p.samples)
		if p.freeSamples > 0 {
			for l := range p.fragmentation {
				res.Fragmentation[l] = p.fragmentation[l] / float64(p.freeSamples)
			}
			res.LargestBlock = p.largest / float64(p.freeSamples)
		}
	}
	return res
}

// queueTime and completionTime return the times of a job, in seconds.
func queueTime(j *simulatedJob) float64      { return float64(j.startedAt-j.arrivedAt) / 1000 }
func completionTime(j *simulatedJob) float64 { return float64(j.endedAt-j.arrivedAt) / 1000 }

// summarise returns the quantiles of the times of jobs.
func summarise(jobs []*simulatedJob) GroupResult {
	return GroupResult{Jobs: len(jobs), QueueTime: quantiles(jobs, queueTime), CompletionTime: quantiles(jobs, completionTime)}
}

// quantiles returns the quantiles of value over jobs.
func quantiles(jobs []*simulatedJob, value func(*simulatedJob) float64) Quantiles {
	if len(jobs) == 0 {
		return Quantiles{}
	}
	times := make([]float64, len(jobs))
	for i, j := range jobs {
		times[i] = value(j)
	}
	slices.Sort(times)
	return Quantiles{P50: times[len(times)/2], P99: times[min(len(times)-1, len(times)*99/100)], Max: times[len(times)-1]}
}

// Print writes r as a table, whose first column has title as its heading.
func (r *Result) Print(w io.Writer, title string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s\tjobs\tqueue p50 s\tp99 s\tcompletion p50 s\tp99 s\n", title)
	for _, c := range slices.Sorted(maps.Keys(r.Classes)) {
		g := r.Classes[c]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", c, g.Jobs, g.QueueTime.P50, g.QueueTime.P99, g.CompletionTime.P50, g.CompletionTime.P99)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "64-gang queue p50 %.1f s max %.1f s; fragmentation four %.3f worker %.3f rack %.3f; largest block %.3f; "+
		"utilisation %.3f; lost %.1f slot-hours; %d moved; outcomes %v, %d open; %d events\n",
		r.LargestGangQueueTime.P50, r.LargestGangQueueTime.Max, r.Fragmentation[rack.LevelFour], r.Fragmentation[rack.LevelWorker],
		r.Fragmentation[rack.LevelRack], r.LargestBlock, r.Utilisation, r.LostSlotHours, r.Moved, r.Outcomes, r.Open, r.Events)
}
