package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/demo"
)

// demoCommand returns `limpetrelay demo`.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "play a small day with failures, all in this process on loopback",
		Description: "Needs nothing else and ends within 60 s. The last line tells how many invariants\n" +
			"were checked; the exit code is 1 where any broke.\n\nExample: limpetrelay demo",
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
