// Command harness-2 runs the scripted cases of the second review. It starts hosts with the
// command of the deploy file as separate processes, serves stand-ins for the store and the
// workers on loopback, submits jobs, and judges a rule by what clients and workers have seen.
package main
