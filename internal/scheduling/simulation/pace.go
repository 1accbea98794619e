package simulation

// coldFactor is the factor by which tasks take longer on a cold worker.
const coldFactor = 1.5

// currentPace returns the factor by which tasks take longer on the worker at present than on a
// worker of pace 1.
func (w *worker) currentPace() float64 {
	x := w.pace * max(1, w.slowFactor)
	if w.cluster.now < w.coldUntil {
		x *= coldFactor
	}
	return x
}

// cool makes the worker cold for d milliseconds.
func (w *worker) cool(d int64) {
	w.coldUntil = max(w.coldUntil, w.cluster.now+d)
	w.paceChanged()
	w.cluster.schedule(d, w.paceChanged)
}

// paceChanged announces whether the worker is cold, and changes the speed of its runs and their
// gangs to its current pace.
func (w *worker) paceChanged() {
	if !w.up {
		return
	}
	if w.listed && !w.partitioned {
		w.cluster.publishEntry(w)
	}
	resumed := make(map[*gang]bool)
	for _, r := range w.sortedRuns() {
		g := r.gang()
		switch {
		case g == nil:
			r.pause()
			r.resume()
		case g.started && !resumed[g]:
			resumed[g] = true
			for _, m := range g.members {
				m.pause()
			}
			g.resume()
		}
	}
}

// pause ends the period of constant speed that began when the run last resumed.
func (r *run) pause() { r.base, r.since = r.workDone(), 0 }
