package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/settings"
)

// settingsExample is the settings file shown in the help of `check`.
const settingsExample = `host = "gulf-a-1"               # name in the platform's host list
dataCentre = "gulf-a"
region = "gulf-south"
listen = "10.0.0.5:7001"        # address for callers and operators
peerListen = "10.0.0.5:8001"    # address for other entry hosts
platform = "http://10.0.0.1:7000"
logLevel = "info"               # debug, info, warn or error
[timings]                       # the values shown are the defaults
heartbeat = "1s"
taskLease = "15s"
gangLease = "6s"
smallLease = "6s"
placerTimeout = "2s"
goneAfter = "10s"
snapshotEvery = "5m"            # must be well below the log's retention
[limits]
batchRecords = 128
snapshotRecords = 500
`

// checkCommand returns the command `limpetrelay check`.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "validate a settings file and list all problems",
		ArgsUsage:   "FILE",
		Description: "Example with all keys:\n\n" + settingsExample + "\n" + exitCodeHelp,
		Flags:       []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			file, err := singleArgument(c, "a settings file")
			if err != nil {
				return err
			}
			_, problems := settings.Load(file)
			if problems == nil {
				problems = []settings.Problem{}
			}
			if err := writeOutput(c, problems, func(w io.Writer) {
				for _, p := range problems {
					_, _ = fmt.Fprintln(w, p)
				}
			}); err != nil {
				return err
			}
			return problemsError(problems)
		},
	}
}

// problemsError returns a fault of kind Invalid that counts the problems, or nil
// when there are none. It does not list them.
func problemsError(problems []settings.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return fault.Newf(fault.Invalid, "correct all problems and run the command again", "the settings have %d problems", len(problems))
}
