package main

import (
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/platform"
)

// configurationCheckHelp describes the check of a configuration in the help of `check`.
const configurationCheckHelp = `With --configuration it checks the operators' record config of ` + "`limpetrelay front`" + `:

  limpetrelay check --configuration next.json --current now.json --accelerators 64

Each line has the file, line and column (in bytes), the severity, the entry, what is wrong and
the remedy. An error must be corrected; a warning has an effect that is probably not intended,
such as a route that never matches; a change is a difference from the version in force. Of API
keys only the beginning is shown. Warnings and changes alone exit with 0.
`

// checkConfiguration runs `limpetrelay check --configuration FILE`.
func checkConfiguration(c *cli.Command) error {
	if c.Args().Present() {
		return fault.New(fault.Invalid, "a settings file and a configuration cannot be checked together", "run the command once for each")
	}
	if c.Int64("accelerators") < 0 {
		return fault.New(fault.Invalid, "the number of accelerators is negative", "pass 0 or more")
	}
	o := platform.CheckOptions{File: c.String("configuration"), CurrentFile: c.String("current"), Accelerators: c.Int64("accelerators")}
	next, err := readConfiguration(o.File)
	if err != nil {
		return err
	}
	var current []byte
	if c.IsSet("current") {
		if current, err = readConfiguration(o.CurrentFile); err != nil {
			return err
		}
	}
	findings := platform.CheckConfiguration(current, next, o)
	if findings == nil {
		findings = []platform.Finding{}
	}
	if err := writeOutput(c, findings, func(w io.Writer) {
		for _, f := range findings {
			_, _ = fmt.Fprintln(w, f)
		}
	}); err != nil {
		return err
	}
	return findingsError(findings)
}

// readConfiguration returns the content of a file, which is not nil if err is.
func readConfiguration(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "give the path of a readable file", "cannot read the configuration: %v", err)
	}
	return b, nil
}

// findingsError returns a fault of kind Invalid that counts the errors, or nil when there
// are none.
func findingsError(findings []platform.Finding) error {
	n := 0
	for _, f := range findings {
		if f.Severity == platform.Error {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return fault.Newf(fault.Invalid, "correct all errors and run the command again", "the configuration has %d errors", n)
}
