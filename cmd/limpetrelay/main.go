// Command limpetrelay runs entry hosts of the scheduler and provides the command
// line for callers and operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "limpetrelay:", err)
		os.Exit(exitCode(err))
	}
}

// run runs the command line until it ends or is interrupted.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return newApp().Run(ctx, os.Args)
}

// newApp returns the root command with all subcommands.
func newApp() *cli.Command {
	return &cli.Command{
		Name:                  "limpetrelay",
		Usage:                 "schedule multi-accelerator jobs under organisation guarantees",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			serveCommand(), frontCommand(), explainCommand(), submitCommand(), statusCommand(), answerCommand(), cancelCommand(),
			configCommand(), checkCommand(), demoCommand(),
		},
	}
}
