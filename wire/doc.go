// Package wire carries calls between limpetrelay's own processes, and to the
// platform and the workers, as connect-go unary calls with a CBOR codec.
//
// A server registers plain functions with Handle and a client obtains a plain
// function with Call. Typed errors of package fault cross the wire unchanged.
// A call that failed after it may have been sent returns fault.Unknown; only a
// connection that was never established returns fault.Unavailable.
package wire
