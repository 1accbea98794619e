package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/demo"
)

// demoCommand returns the command `limpetrelay demo`.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a short simulation with failures, in one process on loopback",
		Description: "Requires no other process and ends within 60 s. The last line reports how many\n" +
			"invariants were checked; the exit code is 1 when any was violated.\n\nExample: limpetrelay demo",
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := demo.Run(ctx, c.Root().Writer)
			if err != nil {
				return err
			}
			if r.Broken > 0 {
				return errInvariantBroken
			}
			return nil
		},
	}
}
