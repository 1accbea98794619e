package coordinator

import (
	"log/slog"
	"maps"
	"slices"
)

// Evacuated is the set of data centres under evacuation: no start order is sent to their workers.
type Evacuated struct {
	// DataCentres is the whole set, sorted.
	DataCentres []string
}

// evacuations is the coordinator's state of the evacuation of data centres.
type evacuations struct {
	// evacuated holds the data centres under evacuation. evacuationSeen is set once any has been
	// under evacuation in this term.
	evacuated      map[string]bool
	evacuationSeen bool
	// operatorsReadAt is when the read was sent that last showed the operators' records to be
	// complete.
	operatorsReadAt int64
}

// startEvacuations puts the data centres in force that are under evacuation at the start of the
// term. The workers are not known yet.
func (s *State) startEvacuations() {
	s.operatorsReadAt = s.now - s.MaxOperatorAge - 1
	s.evacuated = make(map[string]bool, len(s.Evacuated))
	for _, name := range s.Evacuated {
		s.evacuated[name], s.evacuationSeen = true, true
		s.logEvacuation("data centre evacuated", name, slog.Bool("atStart", true))
	}
}

// evacuationsChanged puts a new set of data centres under evacuation in force.
func (s *State) evacuationsChanged(e *Evacuated) {
	old := s.evacuated
	s.evacuated = make(map[string]bool, len(e.DataCentres))
	for _, name := range e.DataCentres {
		s.evacuated[name], s.evacuationSeen = true, true
	}
	// All workers are marked before any placement is withdrawn, which may make other units start.
	for _, w := range s.workers {
		w.evacuated = s.evacuated[w.DataCentre]
	}
	for _, w := range s.sortedWorkers() {
		s.updateEvacuation(w)
	}
	s.dropEvacuatedReservations()
	for _, name := range e.DataCentres {
		if !old[name] {
			s.logEvacuation("data centre evacuated", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if !s.evacuated[name] {
			s.logEvacuation("evacuation ended", name)
		}
	}
	// What waits for room may now have another place, or has to look for one.
	s.planDue = true
	s.capacityGains++
}

// logEvacuation logs a change of the evacuation of a data centre, with what is known to be there.
func (s *State) logEvacuation(message, dataCentre string, more ...slog.Attr) {
	workers, runs := 0, 0
	for _, w := range s.workers {
		if w.DataCentre == dataCentre {
			workers++
			runs += len(w.attempts)
		}
	}
	s.log(message, append([]slog.Attr{slog.String("dataCentre", dataCentre), slog.Int("workers", workers), slog.Int("runs", runs)}, more...)...)
}

// updateEvacuation updates what depends on the data centre of a worker. Tasks that were placed
// on a worker of a data centre under evacuation, and not sent, are placed elsewhere.
func (s *State) updateEvacuation(w *worker) {
	w.evacuated = s.evacuated[w.DataCentre]
	if !w.evacuated {
		return
	}
	for _, a := range sortedAttempts(w.attempts) {
		if a.phase == phasePlanned && !a.sent && w.attempts[a.taskID()] == a {
			s.withdrawUnit(a.unit, "data centre "+w.DataCentre+" is evacuated")
		}
	}
}

// dropEvacuatedReservations drops the reservations that include workers of data centres under
// evacuation. Their gangs choose others in the next pass.
func (s *State) dropEvacuatedReservations() {
	for service, rs := range s.reservations {
		s.reservations[service] = slices.DeleteFunc(rs, func(res *reservation) bool {
			for id := range res.workers {
				if w := s.workers[id]; w != nil && w.evacuated {
					return true
				}
			}
			return false
		})
	}
}

// mayStart reports whether start orders may be sent: no other host can hold the role, and the
// operators' records are recent enough.
func (s *State) mayStart() bool { return s.soleLeader() && s.now <= s.startUntil() }

// startUntil returns the time until which start orders may be sent.
func (s *State) startUntil() int64 {
	if s.MaxOperatorAge == 0 {
		return s.soleUntil()
	}
	return min(s.soleUntil(), s.operatorsReadAt+s.MaxOperatorAge)
}

// cold reports whether w is still slow after its start. In deployments without evacuations that
// makes no difference.
func (s *State) cold(w *worker) bool {
	return (s.MaxOperatorAge > 0 || s.evacuationSeen) && s.now < w.coldUntil
}

// noteColdTime records until when a worker is cold, by the entry that was just read.
func (s *State) noteColdTime(w *worker) { w.coldUntil = s.now - s.waited + w.ColdLeft }

// EvacuatedWorkers returns the number of listed workers in data centres under evacuation.
func (s *State) EvacuatedWorkers() int {
	n := 0
	if len(s.evacuated) == 0 {
		return n
	}
	for _, w := range s.workers {
		if w.listed && w.evacuated {
			n++
		}
	}
	return n
}
