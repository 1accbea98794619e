// Package trial contains the tests that run limpetrelay as separate processes on
// loopback. It has no code besides the tests.
package trial
