package main

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/entry"
	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
	"github.com/limpetrelay/limpetrelay/settings"
)

// serveCommand returns the command `limpetrelay serve`.
func serveCommand() *cli.Command {
	return &cli.Command{
		Name:      "serve",
		Usage:     "run an entry host",
		ArgsUsage: " ",
		Description: "Runs until SIGTERM or an interrupt, then drains: it rejects new requests, completes the\n" +
			"open ones and hands over its role before it exits.\n\n" +
			"Example: limpetrelay serve --settings host.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "TOML file"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, problems := settings.Load(c.String("settings"))
			if err := reportProblems(problems); err != nil {
				return err
			}
			return serve(ctx, &s)
		},
	}
}

// reportProblems prints problems to standard error and returns an error when
// there are any.
func reportProblems(problems []settings.Problem) error {
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	return problemsError(problems)
}

// serve runs an entry host with validated settings until ctx ends and the host has
// drained.
func serve(ctx context.Context, s *settings.Settings) error {
	memory := cmp.Or(s.Limits.MemoryMB<<20, entry.DefaultMemory)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryFraction * float64(memory)))
	h := &entry.Host{Settings: entry.Settings{
		Settings: dispatch.Settings{
			Host: s.Host, DataCentre: s.DataCentre, Incarnation: uuid.NewString(),
			HeartbeatInterval: s.Timings.Heartbeat.Milliseconds(),
			TaskLease:         s.Timings.TaskLease.Milliseconds(),
			GangLease:         s.Timings.GangLease.Milliseconds(),
			SmallLease:        s.Timings.SmallLease.Milliseconds(),
			PlacerTimeout:     s.Timings.PlacerTimeout.Milliseconds(),
			GoneAfter:         s.Timings.GoneAfter.Milliseconds(),
			BatchRecords:      s.Limits.BatchRecords,
		},
		SnapshotRecords: uint64(max(0, s.Limits.SnapshotRecords)),
		SnapshotEvery:   time.Duration(s.Timings.SnapshotEvery),
		Logger:          newLogger(s.LogLevel),
		Memory:          memory, MaxDescriptors: s.Limits.MaxDescriptors,
		ClientLimits: httpserver.Limits{
			HeaderBytes: s.Limits.HeaderBytes, HeaderTimeout: time.Duration(s.Timings.HeaderTimeout),
			BodyTimeout: time.Duration(s.Timings.BodyTimeout), IdleTimeout: time.Duration(s.Timings.IdleTimeout),
		},
	}}
	h.Dependencies = entry.NetworkDependencies(s.Platform, func(purpose string, sent, received int) {
		h.Metrics.Count("bytesSent", purpose, "", int64(sent))
		h.Metrics.Count("bytesReceived", purpose, "", int64(received))
	})
	h.Logger.Info("serving", "listen", s.Listen, "peerListen", s.PeerListen, "region", s.Region)
	entry.SetServerLogger(h.Logger)
	return h.Serve(ctx, entry.Addresses{Callers: s.Listen, Peers: s.PeerListen})
}

// newLogger returns a logger that writes JSON lines to standard error. An empty or
// unknown level means info.
func newLogger(level string) *slog.Logger {
	var l slog.Level
	if level != "" {
		if err := l.UnmarshalText([]byte(level)); err != nil {
			l = slog.LevelInfo
		}
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}
