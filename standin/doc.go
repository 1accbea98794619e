// Package standin simulates the platform in tests, demos and on a developer's
// machine: an append-only log with retention and outages, the host list that
// lags behind its changes, and workers that run simulated tasks under leases.
//
// The stand-ins use no clock other than the time package, so they run in a
// testing/synctest bubble. The faults of a Log or Worker are set at run time with
// SetFaults. Worker.History returns what ran and when; tests check the outcomes
// reported to callers against it.
package standin
