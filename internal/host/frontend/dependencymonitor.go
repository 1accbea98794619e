package frontend

import (
	"log/slog"
	"sync"
)

// dependencyMonitor writes one line when a dependency is lost and one when it is back.
type dependencyMonitor struct {
	mu   sync.Mutex
	h    *Host
	lost map[string]int64
}

func (d *dependencyMonitor) init(h *Host) {
	d.h = h
	d.lost = make(map[string]int64)
}

// fail notes a failed call to a dependency.
func (d *dependencyMonitor) fail(name string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.h.Metrics.Count("failedCalls", name, "", 1)
	if _, ok := d.lost[name]; ok {
		return
	}
	d.lost[name] = d.h.now()
	d.h.Logger.Warn("dependency lost", slog.String("dependency", name), slog.String("error", err.Error()))
}

// ok notes a call that was answered.
func (d *dependencyMonitor) ok(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, lost := d.lost[name]
	if !lost {
		return
	}
	delete(d.lost, name)
	d.h.Logger.Info("dependency regained", slog.String("dependency", name), slog.Int64("forMs", d.h.now()-since))
}
