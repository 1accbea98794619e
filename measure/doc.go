// Package measure collects the metrics of a process in a go-metrics registry and
// writes them as JSON: gauges, and histograms and counters per organisation and
// class.
//
//	var m measure.Metrics
//	m.Observe("queueTime", "skimworks", "routePlan", 120)
//	m.WriteJSON(w)
package measure
