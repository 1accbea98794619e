// Package record defines what limpetrelay writes to the platform's log.
//
// A Record carries its writer's incarnation and a sequence number, so that a
// repeat after a lost answer is recognised and dropped. Exactly one body field
// is set. Records are facts that must last: patches, accepted jobs, their
// placements and ends, role claims and changes of workers. Heartbeats, usage
// and small repeatable requests never become records.
package record
