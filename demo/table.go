package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/limpetrelay/limpetrelay/standin"
)

// sampleFragmentation records the fragmentation of both data centres at a time
// since the start. A zero time means that of the previous sample.
func (sc *scenario) sampleFragmentation(at time.Duration) {
	if at == 0 && len(sc.samples) > 0 {
		at = sc.samples[len(sc.samples)-1].at
	}
	s := fragmentationSample{at: at, byLevel: map[string]map[string]float64{}}
	for _, h := range sc.hosts {
		s.byLevel[h.DataCentre] = h.Fragmentation()
	}
	sc.samples = append(sc.samples, s)
}

// printTables prints the jobs with their outcomes, the latencies of requests by class
// and the fragmentation over time.
func (sc *scenario) printTables(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nrequest\torganisation\tmembers\ttold\tms")
	smallRequests := map[string]int{}
	for _, r := range sc.requests {
		if r.Job == "" {
			smallRequests[r.Spec.Class]++
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%v\t%d\n", r.Echo, r.Spec.Organisation, max(1, r.Spec.Members), r.Results, r.latency.Milliseconds())
	}
	for _, c := range slices.Sorted(maps.Keys(smallRequests)) {
		_, _ = fmt.Fprintf(t, "(%d small requests of class %s)\n", smallRequests[c], c)
	}
	_, _ = fmt.Fprintln(t, "\nclass\trequests\tp50 ms\tp99 ms")
	byClass := map[string][]time.Duration{}
	for _, r := range sc.requests {
		byClass[r.Spec.Class] = append(byClass[r.Spec.Class], r.latency)
	}
	for _, c := range slices.Sorted(maps.Keys(byClass)) {
		latencies := byClass[c]
		slices.Sort(latencies)
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", c, len(latencies), latencies[len(latencies)/2].Milliseconds(), latencies[len(latencies)*99/100].Milliseconds())
	}
	_, _ = fmt.Fprintln(t, "\nfragmentation at\tgulf-a worker\tgulf-a rack\tluzon-a worker\tluzon-a rack")
	for _, s := range sc.samples {
		_, _ = fmt.Fprintf(t, "%.1f s\t%.2f\t%.2f\t%.2f\t%.2f\n", s.at.Seconds(), s.byLevel[gulf]["worker"],
			s.byLevel[gulf]["rack"], s.byLevel[luzon]["worker"], s.byLevel[luzon]["rack"])
	}
	_, _ = fmt.Fprintln(t)
	_ = t.Flush()
}

// runningOn returns the number of running tasks on w whose echo begins with prefix.
func runningOn(w *standin.Worker, prefix string) int {
	n := 0
	for _, i := range w.History() {
		if i.End.IsZero() && strings.HasPrefix(i.Echo, prefix) {
			n++
		}
	}
	return n
}
