package measure

import (
	"io"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize is the number of values kept per histogram.
	sampleSize = 512
	// decay weighs recent values more, as in go-metrics' own timers.
	decayFactor = 0.015
	// maxSeries bounds the number of metrics, since organisations and classes
	// come from callers.
	maxSeries = 2000
)

// Metrics is a set of metrics. The zero value is ready, and may be used by
// several goroutines.
type Metrics struct {
	once     sync.Once
	registry metrics.Registry
	mu       sync.Mutex
	series   map[string]bool
}

// Observe adds v to the histogram of an organisation and class, either of which
// may be empty. Durations are in milliseconds.
func (m *Metrics) Observe(name, org, class string, v int64) {
	m.init()
	n, ok := m.name(name, org, class)
	if !ok {
		return
	}
	metrics.GetOrRegisterHistogram(n, m.registry, metrics.NewExpDecaySample(sampleSize, decayFactor)).Update(v)
}

// Count adds v to a counter for an organisation and class, either of which may
// be empty.
func (m *Metrics) Count(name, org, class string, v int64) {
	m.init()
	n, ok := m.name(name, org, class)
	if !ok {
		return
	}
	metrics.GetOrRegisterCounter(n, m.registry).Inc(v)
}

// SetGauge sets a gauge.
func (m *Metrics) SetGauge(name string, v float64) {
	m.init()
	metrics.GetOrRegisterGaugeFloat64(name, m.registry).Update(v)
}

// CounterValue returns the value of a counter.
func (m *Metrics) CounterValue(name, org, class string) int64 {
	m.init()
	n, _ := m.name(name, org, class)
	if c, ok := m.registry.Get(n).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// WriteJSON writes all metrics to w.
func (m *Metrics) WriteJSON(w io.Writer) {
	m.init()
	metrics.WriteJSONOnce(m.registry, w)
}

// init makes the registry.
func (m *Metrics) init() {
	m.once.Do(func() {
		m.registry = metrics.NewRegistry()
		m.series = map[string]bool{}
	})
}

// name joins the parts of a metric's name. It returns false when there are
// too many metrics.
func (m *Metrics) name(parts ...string) (string, bool) {
	var nonEmpty []string
	for _, p := range parts {
		if p != "" {
			nonEmpty = append(nonEmpty, p)
		}
	}
	n := strings.Join(nonEmpty, "/")
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.series[n] {
		return n, true
	}
	if len(m.series) >= maxSeries {
		return "", false
	}
	m.series[n] = true
	return n, true
}
