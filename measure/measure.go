package measure

import (
	"io"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 512
	// decayFactor gives more weight to recent values; it is the one that go-metrics
	// uses for its own timers.
	decayFactor = 0.015
	// maxSeries is the largest number of histograms and counters together. It is
	// bounded because the names of organisations and classes come from callers.
	maxSeries = 2000
)

// Metrics is a set of metrics. The zero value is ready to use. It is safe for
// concurrent use.
type Metrics struct {
	once     sync.Once
	registry metrics.Registry
	mu       sync.Mutex
	// series holds the names of the histograms and counters; mu guards it.
	series map[string]bool
}

// Observe adds v to the histogram of an organisation and class, either of which
// may be empty. Durations are in milliseconds.
func (m *Metrics) Observe(name, org, class string, v int64) {
	m.init()
	n, ok := m.name(name, org, class)
	if !ok {
		return
	}
	// The sample is made on first use only, since it takes kilobytes.
	h, ok := m.registry.GetOrRegister(n, newHistogram).(metrics.Histogram)
	if ok {
		h.Update(v)
	}
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, decayFactor))
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

// SetGauge sets the gauge with the given name to v.
func (m *Metrics) SetGauge(name string, v float64) {
	m.init()
	metrics.GetOrRegisterGaugeFloat64(name, m.registry).Update(v)
}

// CounterValue returns the value of a counter, and 0 if there is none.
func (m *Metrics) CounterValue(name, org, class string) int64 {
	m.init()
	n, _ := m.name(name, org, class)
	if c, ok := m.registry.Get(n).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// WriteJSON writes the current values of all metrics to w.
func (m *Metrics) WriteJSON(w io.Writer) {
	m.init()
	metrics.WriteJSONOnce(m.registry, w)
}

// init creates the registry on first use.
func (m *Metrics) init() {
	m.once.Do(func() {
		m.registry = metrics.NewRegistry()
		m.series = map[string]bool{}
	})
}

// name joins the parts that are not empty to the name of a metric and reports
// whether the metric may be recorded. It returns false for a new name if there
// are maxSeries names already.
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
