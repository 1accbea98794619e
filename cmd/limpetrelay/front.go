package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/entry"
	"github.com/limpetrelay/limpetrelay/internal/host/asynclog"
	"github.com/limpetrelay/limpetrelay/internal/host/frontend"
	"github.com/limpetrelay/limpetrelay/internal/host/hostconfig"
	"github.com/limpetrelay/limpetrelay/platform"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/settings"
)

const (
	// gcPercent makes the collector run more often than by default: memory is dear on
	// the hosts, and there is little garbage.
	gcPercent = 50
	// memoryShare is the part of a host's memory that the runtime aims to stay under.
	memoryShare = 0.7
	// outOfRotation is how long a host goes on serving after it has said that it is not
	// ready: the balancer asks once a second and takes two misses.
	outOfRotation = 2200 * time.Millisecond
	// reloadEvery is the time between two looks at the settings file, which may change
	// without a signal.
	reloadEvery = 5 * time.Second
)

// frontCommand returns `limpetrelay front`.
func frontCommand() *cli.Command {
	return &cli.Command{
		Name:      "front",
		Usage:     "run an entry host on the users' platform",
		ArgsUsage: " ",
		Description: "Reads the settings file that " + platform.SettingsVariable + " names, and runs until TERM or an\n" +
			"interrupt. Then it reports that it is not ready, answers the open requests and hands its\n" +
			"role over. HUP reads the settings again.\n\n" +
			"Example: " + platform.SettingsVariable + "=node.conf limpetrelay front",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings file, in place of the variable's"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				path = platform.SettingsPath()
			}
			s, problems := platform.LoadSettings(path)
			if err := report(problems); err != nil {
				return err
			}
			var level slog.Level
			if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
				return problemsError([]settings.Problem{{
					File: "command line", Key: "log-level", What: err.Error(), Remedy: "use debug, info, warn or error",
				}})
			}
			return front(ctx, &s, path, level)
		},
	}
}

// front runs an entry host with checked settings.
func front(ctx context.Context, s *hostconfig.Settings, path string, level slog.Level) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	lines := asynclog.New(os.Stdout, 0)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan error, 1)
	go func() { logged <- lines.Run(logCtx) }()
	l := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level})).With(slog.String("host", s.Host))
	entry.SetServerLogger(l)
	h := newFront(s, l)
	l.Info("start", slog.String("incarnation", h.Incarnation), slog.String("dataCentre", s.DataCentre),
		slog.String("settings", path), slog.Float64("coreShare", s.CoreShare), slog.Int64("memoryMB", s.MemoryMB))
	err := runFront(ctx, h, path)
	l.Info("stop", slog.Any("error", err))
	stopLog()
	return errors.CombineErrors(err, <-logged)
}

// newFront returns a host whose seams are the platform.
func newFront(s *hostconfig.Settings, l *slog.Logger) *frontend.Host {
	c := platform.NewHTTPClient()
	w := platform.Workers{Client: c}
	h := &frontend.Host{
		Settings: *s, Incarnation: uuid.NewString()[:13], Logger: l,
		Seams: frontend.Seams{
			Store: platform.NewStore(c, s.StoreAddress),
			Topics: frontend.Topics{
				Configuration: platform.TopicConfiguration, Workers: platform.TopicWorkers,
				Status: platform.TopicStatus, Jobs: platform.TopicJobs, Details: platform.TopicDetails,
				ConfigurationKey: platform.KeyConfiguration,
			},
			DecodeConfiguration: platform.DecodeConfiguration, DecodeWorker: platform.DecodeWorker,
			Start: w.Start, Stop: w.Stop, Hold: w.Hold,
		},
	}
	if s.AdviceAddress != "" {
		h.Advise = platform.Advice{Client: c, Address: s.AdviceAddress}.Ask
	}
	return h
}

// runFront runs h and its servers until ctx ends, and then drains.
func runFront(ctx context.Context, h *frontend.Host, path string) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers := []*khttp.Server{
		newFrontServer(h.CallersAddress, platform.Callers(h)), newFrontServer(h.ReadyAddress, platform.Ready(h)),
	}
	if h.MetricsAddress != "" {
		servers = append(servers, newFrontServer(h.MetricsAddress, metricsHandler(h)))
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.Start(work) }()
	}
	ran := make(chan error, 1)
	go func() { ran <- h.Run(work) }()
	watched := make(chan error, 1)
	go func() { watched <- watchSettings(work, h, path) }()
	var err error
	select {
	case <-ctx.Done():
		h.Logger.Info("draining")
		h.Drain()
		retry.Pause(work, outOfRotation)
		err = stopServers(work, servers, failed)
	case err = <-failed:
		err = errors.Wrap(err, "a server has ended")
	case err = <-ran:
		ran <- nil
	}
	cancel()
	return errors.CombineErrors(err, errors.CombineErrors(<-ran, <-watched))
}

// newFrontServer returns a server without a time limit of its own; each call has one.
func newFrontServer(address string, next http.Handler) *khttp.Server {
	s := khttp.NewServer(khttp.Address(address), khttp.Timeout(0))
	s.HandlePrefix("/", next)
	return s
}

// stopServers lets the open requests finish.
func stopServers(ctx context.Context, servers []*khttp.Server, failed chan error) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	var err error
	for _, s := range servers {
		err = errors.CombineErrors(err, s.Stop(ctx))
	}
	for range servers {
		err = errors.CombineErrors(err, <-failed)
	}
	return errors.Wrap(err, "stop the servers")
}

// stopTimeout bounds the time for open requests after a drain; a caller waits for
// about three seconds.
const stopTimeout = 3200 * time.Millisecond

// metricsHandler serves the metrics as text.
func metricsHandler(h *frontend.Host) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.Gauges()
		w.Header().Set("Content-Type", "application/json")
		h.Metrics.WriteJSON(w)
	})
}

// watchSettings reads the settings again on HUP and when the file has changed. What
// cannot change while the process runs is reported.
func watchSettings(ctx context.Context, h *frontend.Host, path string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	old, _ := platform.LoadSettings(path)
	for {
		forced := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			forced = true
		case <-t.C:
		}
		s, problems := platform.LoadSettings(path)
		for _, p := range problems {
			h.Logger.Error("settings not used", slog.String("problem", p.String()))
		}
		if len(problems) > 0 || s == old && !forced {
			continue
		}
		restart := s.NeedsRestart(&old)
		h.Logger.Info("reload", slog.String("settings", path), slog.Bool("signal", forced), slog.Bool("changed", s != old),
			slog.Any("needRestart", restart))
		h.Reload(&s)
		old = s
	}
}
