// Package policy decides in which order waiting jobs are placed and which
// cells they take.
//
// A Policy is plain functions over plain data, so that policies can be
// compared in benchmarks and replaced without a change of the replicated
// state: the ledger only validates what a policy chose. FirstFit and BestFit
// are the baselines.
package policy
