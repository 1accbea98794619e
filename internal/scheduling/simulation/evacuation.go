package simulation

import (
	"fmt"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
)

// operators is the state of the operators' records.
type operators struct {
	// evacuatedAt holds when the evacuation of each data centre was requested that is in force.
	evacuatedAt map[string]int64
	// operatorsCut is set while coordinators cannot read the records, since cutAt. knownAtCut has the
	// data centres that were under evacuation then.
	operatorsCut bool
	cutAt        int64
	knownAtCut   []string
}

// operatorsCopy is a coordinator's copy of the operators' records.
type operatorsCopy struct {
	// known has the data centres under evacuation, and readAt is when they were last read.
	known  []string
	readAt int64
}

// dataCentre returns the name of the worker's data centre; empty if the scenario has none.
func (w *worker) dataCentre() string {
	if w.cluster.DataCentres == 0 {
		return ""
	}
	var rack int
	if _, err := fmt.Sscanf(w.rack, "r%d", &rack); err != nil {
		w.cluster.violationf("the rack %s of %s has no number", w.rack, w.id)
	}
	return dataCentreName(rack % w.cluster.DataCentres)
}

func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i) }

// injectOperators injects a fault of the operators' records.
func (c *Cluster) injectOperators(f Fault) {
	if f.Kind == OperatorsCut {
		c.operatorsCut, c.cutAt, c.knownAtCut = true, c.now, c.evacuated()
		c.schedule(f.Duration, func() { c.operatorsCut = false })
		return
	}
	name := dataCentreName(f.DataCentre)
	c.tracef("evacuation of %s is requested for %d ms", name, f.Duration)
	if c.evacuatedAt == nil {
		c.evacuatedAt = make(map[string]int64)
	}
	c.evacuatedAt[name] = c.now
	if f.Duration > 0 {
		c.schedule(f.Duration, func() {
			c.tracef("the request to evacuate %s is withdrawn", name)
			delete(c.evacuatedAt, name)
		})
	}
}

// startOperators reads the operators' records for a new coordinator. While it cannot read them, a
// real host does not claim the role; here the coordinator takes over with an old copy.
func (h *coordinatorHost) startOperators() []string {
	c := h.cluster
	h.known, h.readAt = c.evacuated(), c.now
	if c.operatorsCut {
		h.known, h.readAt = c.knownAtCut, c.cutAt
	}
	return h.known
}

// readOperators reads the operators' records, and passes a change of them on before any event that
// follows.
func (h *coordinatorHost) readOperators() {
	if h.cluster.storeDown || h.cluster.operatorsCut {
		return
	}
	sent := h.cluster.now
	known := h.cluster.evacuated()
	h.cluster.schedule(h.cluster.NetworkDelay, func() {
		if h.stopped || h.suspended {
			return
		}
		if !slices.Equal(known, h.known) {
			h.known = known
			h.apply(coordinator.Event{Evacuated: &coordinator.Evacuated{DataCentres: known}})
		}
		h.readAt = sent
	})
}

// operatorAge returns the age of the coordinator's copy of the operators' records.
func (h *coordinatorHost) operatorAge() int64 { return h.cluster.now - h.readAt }

// evacuated returns the data centres under evacuation, sorted.
func (c *Cluster) evacuated() []string { return slices.Sorted(maps.Keys(c.evacuatedAt)) }

// checkEvacuated checks that a run does not start in a data centre under evacuation, except by an
// order that was late on its way.
func (c *Cluster) checkEvacuated(r *run) {
	at, ok := c.evacuatedAt[r.dataCentre()]
	if ok && c.now > at+c.MaxEvacuationDelay && !c.executingLate {
		c.violationf("%v run %d starts on %s %d ms after the evacuation of %s was requested", r.task, r.run, r.id, c.now-at, r.dataCentre())
	}
}
