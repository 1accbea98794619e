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
headerTimeout = "10s"           # until a request's header is complete
bodyTimeout = "30s"             # until its body is complete
idleTimeout = "2m"              # without a request on a connection
[limits]
batchRecords = 128
snapshotRecords = 500
memoryMB = 512                  # of the process
headerBytes = 65536             # of one request
# maxDescriptors = 4096         # of the process; the default is that of the operating system
`

// checkCommand returns the command `limpetrelay check`.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "validate a settings file, or a configuration before it is published, and list all problems",
		ArgsUsage:   "FILE",
		Description: "Example with all keys:\n\n" + settingsExample + "\n" + configurationCheckHelp + "\n" + exitCodeHelp,
		Flags: []cli.Flag{
			outputFlag(),
			&cli.BoolFlag{Name: "json", Usage: "the same as --output json"},
			&cli.StringFlag{Name: "configuration", Usage: "check a configuration of the command front instead of a settings file"},
			&cli.StringFlag{Name: "current", Usage: "with --configuration: the version in force, to compare with"},
			&cli.Int64Flag{Name: "accelerators", Usage: "with --configuration: the number of accelerators that can be guaranteed; 0 if unknown"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool("json") {
				if err := c.Set("output", "json"); err != nil {
					return err
				}
			}
			if c.IsSet("configuration") {
				return checkConfiguration(c)
			}
			return checkSettings(c)
		},
	}
}

// checkSettings runs `limpetrelay check FILE`.
func checkSettings(c *cli.Command) error {
	if c.IsSet("current") || c.IsSet("accelerators") {
		return fault.New(fault.Invalid, "--current and --accelerators concern a configuration", "add --configuration FILE")
	}
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
}

// problemsError returns a fault of kind Invalid that counts the problems, or nil
// when there are none. It does not list them.
func problemsError(problems []settings.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return fault.Newf(fault.Invalid, "correct all problems and run the command again", "the settings have %d problems", len(problems))
}
