// Package peer is the interface between the entry hosts of one data centre.
//
// A host follows the placer of its data centre with Tail, a long poll. It serves
// both as the heartbeat and as the data centre's copy of the log, so that each
// record is sent to a distant region only once per data centre. Fetch transfers
// a snapshot to a new host when the log no longer holds the records it needs.
package peer
