// Package trial holds the tests that run limpetrelay as separate processes on
// loopback. It has no code of its own.
package trial
