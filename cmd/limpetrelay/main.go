// Command limpetrelay is the scheduler's entry host and its command line.
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newApp().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "limpetrelay:", err)
		os.Exit(exitCode(err))
	}
}

// newApp returns the command line.
func newApp() *cli.Command {
	return &cli.Command{
		Name:                  "limpetrelay",
		Usage:                 "schedule multi-accelerator jobs under organisation guarantees",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			serveCommand(),
		},
	}
}
