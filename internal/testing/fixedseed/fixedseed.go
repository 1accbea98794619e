// Package fixedseed gives the randomised tests their fixed seeds.
package fixedseed

import "flag"

// Set parses the flags and gives rapid a fixed seed and a number of runs,
// unless the command line names others. It is called by TestMain.
func Set(checks string) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": checks, "rapid.nofailfile": "true", "rapid.shrinktime": "5s",
	} {
		setDefault(name, value)
	}
}

// setDefault sets a flag that was not given.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}
