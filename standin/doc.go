// Package standin plays the platform in tests, demos and on a developer's
// machine: an append-only log with retention and outages, the lagging list of
// hosts, and workers that run simulated tasks under leases.
//
// The stand-ins use the time package only, so they run in a testing/synctest
// bubble. Their faults are set at run time with SetFaults. A Worker keeps a
// Ledger of what ran and when; in tests it is the judge of what callers were
// told.
package standin
