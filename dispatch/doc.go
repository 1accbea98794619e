// Package dispatch is the reducer of one entry host.
//
// State.Apply takes one event and returns effects as data. It uses no clock
// and no goroutine: time enters with every event, and a driver (package entry)
// carries out the effects and turns each result, also an unknown one, into the
// next event. Records from the log go through the embedded ledger, so all
// hosts agree on what they decide; everything else in State is this host's own
// view and is lost with the process.
//
// A host that holds the placer role of its data centre drives the placed jobs:
// it reserves all members of a gang, starts them, follows them by heartbeats
// and stops the rest when one is lost. The role is for good decisions only.
// Safety comes from the log (a place is valid under one term only) and from
// the workers (a stopped task never starts).
package dispatch
