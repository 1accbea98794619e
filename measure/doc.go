// Package measure keeps the metrics of a process: histograms and counters per
// organisation and class, in a go-metrics registry that is served as JSON.
//
//	var m measure.Metrics
//	m.Observe("queueTime", "skimworks", "routePlan", 120)
//	m.WriteJSON(w)
package measure
