// Package record defines the entries that limpetrelay appends to the
// platform's log.
//
// A Record carries its writer's incarnation and a sequence number, so that a
// record that is appended again after a lost reply is recognised and dropped.
// Exactly one body field is set. Only durable facts are recorded: configuration
// patches, accepted jobs, their placements, requeues, cancellations and
// outcomes, claims of the placer role and changes of workers. Heartbeats, usage
// and small repeatable requests are never recorded.
package record
