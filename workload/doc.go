// Package workload makes the users' load from a seed and drives the reducer
// of package dispatch through days of it in seconds, to compare placement
// policies.
//
// Time is an event, so nothing waits. The only stand-in is a fake worker at
// the reducer's interface, which answers effects; there are no hosts, links or
// faults of the network in it.
//
//	r := workload.Run(workload.Settings{Seed: 1, Days: 1}, policy.BestFit)
//	fmt.Println(r.Classes["routePlan"].CompletionTime.P99)
package workload
