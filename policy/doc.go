// Package policy decides in which order waiting jobs are placed and which cells
// are allocated to them.
//
// A Policy consists of plain functions over plain data. Policies can therefore be
// compared in benchmarks, and replaced without a change to the replicated state:
// the ledger only validates the cells that a policy chose. FirstFit and BestFit
// are the baselines.
package policy
