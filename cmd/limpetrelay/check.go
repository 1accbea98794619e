package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/settings"
)

// settingsExample is the example in the help.
const settingsExample = `host = "gulf-a-1"               # name in the platform's list
dataCentre = "gulf-a"
region = "gulf-south"
listen = "10.0.0.5:7001"        # callers and operators
peerListen = "10.0.0.5:8001"    # other entry hosts
platform = "http://10.0.0.1:7000"
logLevel = "info"               # debug, info, warn or error
[timings]                       # all with these defaults
heartbeat = "1s"
taskLease = "15s"
gangLease = "6s"
smallLease = "6s"
placerTimeout = "2s"
goneAfter = "10s"
snapshotEvery = "5m"            # well below the log's retention
[limits]
batchRecords = 128
snapshotRecords = 500
`

// checkCommand returns `limpetrelay check`.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings and list all of their problems",
		ArgsUsage:   "FILE",
		Description: "The keys, with an example:\n\n" + settingsExample + "\n" + exitCodeHelp,
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

// problemsError returns an error when there are problems.
func problemsError(problems []settings.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return fault.Newf(fault.Invalid, "correct all of them and try again", "the settings have %d problems", len(problems))
}
