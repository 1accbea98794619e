// Package fixedseed sets fixed seeds for the randomised tests.
package fixedseed

import "flag"

// Set parses the command-line flags and sets a fixed seed and the given number of
// checks for rapid, unless the command line sets them. TestMain calls it.
func Set(checks string) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": checks, "rapid.nofailfile": "true", "rapid.shrinktime": "5s",
	} {
		setDefault(name, value)
	}
}

// setDefault sets a flag that the command line does not set.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}
