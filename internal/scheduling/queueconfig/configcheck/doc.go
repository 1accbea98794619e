// Package configcheck checks a version of the operators' configuration before it is
// published: contradictions, entries that can never match, and differences from the
// version in force. It has no I/O and knows no names of the wire; the caller maps a Place
// to a position in a file.
package configcheck
