package frontend

import (
	"log/slog"
	"sync"
)

// dependencyMonitor logs one line when a dependency stops answering and one when it
// answers again, and counts failed calls.
type dependencyMonitor struct {
	mu sync.Mutex
	h  *Host
	// lostAt holds, by dependency, the time on the host's clock of the first call that
	// failed. It has no entry for a dependency that answers.
	lostAt map[string]int64
}

func (d *dependencyMonitor) init(h *Host) {
	d.h = h
	d.lostAt = make(map[string]int64)
}

// reportFailure records a failed call to a dependency.
func (d *dependencyMonitor) reportFailure(name string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.h.Metrics.Count("failedCalls", name, "", 1)
	if _, ok := d.lostAt[name]; ok {
		return
	}
	d.lostAt[name] = d.h.now()
	d.h.Logger.Warn("dependency lost", slog.String("dependency", name), errorAttr(err))
}

// reportSuccess records a call that was answered.
func (d *dependencyMonitor) reportSuccess(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, lost := d.lostAt[name]
	if !lost {
		return
	}
	delete(d.lostAt, name)
	d.h.Logger.Info("dependency regained", slog.String("dependency", name), slog.Int64("forMs", d.h.now()-since))
}

// maxErrorBytes bounds the text of an error in the log, in bytes. It may quote what
// another writer has sent.
const maxErrorBytes = 400

// errorAttr returns the attribute of an error for the log.
func errorAttr(err error) slog.Attr {
	text := err.Error()
	return slog.String("error", text[:min(len(text), maxErrorBytes)])
}
