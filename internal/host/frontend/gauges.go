package frontend

// gaugeInterval is the least time between two updates of the gauges of a coordinator, which are
// computed from all workers, in milliseconds.
const gaugeInterval = 1000

// updateGauges updates the gauges that only a coordinator has, once in gaugeInterval.
func (l *leader) updateGauges() {
	now := l.now()
	if now < l.gaugesAt+gaugeInterval {
		return
	}
	l.gaugesAt = now
	faster, slower := l.state.PaceClasses()
	l.setGauges(l.state.EvacuatedWorkers(), faster, slower, l.state.Backlogs())
}

// clearGauges resets them when the role is given up.
func (l *leader) clearGauges() { l.setGauges(0, 0, 0, 0) }

func (l *leader) setGauges(evacuated, faster, slower, backlogs int) {
	l.Metrics.SetGauge("evacuatedWorkers", float64(evacuated))
	l.Metrics.SetGauge("fasterWorkers", float64(faster))
	l.Metrics.SetGauge("slowerWorkers", float64(slower))
	l.Metrics.SetGauge("backlogs", float64(backlogs))
}
