// Package logservice is the interface to the platform's services: the append-only
// log and the list of hosts.
//
// Log and Directory are structs of functions. NewClient returns ones whose
// functions make calls over the network; Register serves any implementation. Tests
// pass the functions of a fake instead.
//
// An append that fails with fault.Unavailable was not applied. One that fails
// with fault.Unknown may have been applied, and may even be applied later.
package logservice
