// Package workload compares placement policies: it generates a synthetic load of
// the users' job classes from a seed and runs days of it through the state
// machine of package dispatch within seconds.
//
// The simulation runs in virtual time: each event carries its time, and nothing
// waits. Appends to the log always succeed, and fake workers answer the calls of
// the state machine. There are no host processes, connections or network faults.
//
//	r := workload.Run(workload.Settings{Seed: 1, Days: 1}, policy.BestFit)
//	fmt.Println(r.Classes["routePlan"].CompletionTime.P99)
package workload
