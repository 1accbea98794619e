// Package peer is the seam between the entry hosts of one data centre.
//
// A host follows the placer of its data centre with Tail, a long poll that
// serves at once as heartbeat and as the data centre's copy of the log, so
// that a far region pays for each record once per data centre. Fetch brings a
// snapshot to a fresh host when the log does not reach back.
package peer
