// Package wire carries calls between limpetrelay's own processes, and to the
// platform and the workers, as connect-go unary calls with a CBOR codec.
//
// A server registers plain functions with Handle and a client obtains a plain
// function with Call. Typed errors of package fault arrive with their kind,
// message and remedy.
//
// A call that fails after it may have been sent returns fault.Unknown. Of the
// transport errors, only a failure to connect returns fault.Unavailable.
package wire
