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
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/entry"
	"github.com/limpetrelay/limpetrelay/internal/host/asynclog"
	"github.com/limpetrelay/limpetrelay/internal/host/frontend"
	"github.com/limpetrelay/limpetrelay/internal/host/hostconfig"
	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
	"github.com/limpetrelay/limpetrelay/platform"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/settings"
)

const (
	// gcPercent makes the garbage collector run more often than the default of 100.
	// Memory is scarce on the hosts, and the program produces little garbage.
	gcPercent = 50
	// memoryFraction is the runtime's soft memory limit as a fraction of the host's
	// memory.
	memoryFraction = 0.7
	// drainDelay is how long a host keeps serving after it reports that it is not
	// ready. The balancer probes once a second and removes a host after two failures.
	drainDelay = 2200 * time.Millisecond
	// reloadInterval is the interval at which the settings file is read again, because
	// it may change without a signal.
	reloadInterval = 5 * time.Second
)

// frontCommand returns the command `limpetrelay front`.
func frontCommand() *cli.Command {
	return &cli.Command{
		Name:      "front",
		Usage:     "run an entry host on the users' platform",
		ArgsUsage: " ",
		Description: "Reads the settings file named by " + platform.SettingsVariable + " and runs until SIGTERM or an\n" +
			"interrupt. Then it reports that it is not ready, completes the open requests and hands\n" +
			"over its role. SIGHUP reloads the settings.\n\n" +
			"Example: " + platform.SettingsVariable + "=node.conf limpetrelay front",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings file; overrides the environment variable"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				path = platform.SettingsPath()
			}
			s, problems := platform.LoadSettings(path)
			if err := reportProblems(problems); err != nil {
				return err
			}
			var level slog.Level
			if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
				return problemsError([]settings.Problem{{
					File: "command line", Key: "log-level", Message: err.Error(), Remedy: "use debug, info, warn or error",
				}})
			}
			return runFront(ctx, &s, path, level)
		},
	}
}

// runFront runs an entry host with validated settings. It flushes the asynchronous
// log before it returns.
func runFront(ctx context.Context, s *hostconfig.Settings, path string, level slog.Level) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryFraction * float64(s.MemoryMB<<20)))
	logWriter := asynclog.New(os.Stdout, 0)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan error, 1)
	go func() { logDone <- logWriter.Run(logCtx) }()
	l := slog.New(slog.NewJSONHandler(logWriter, &slog.HandlerOptions{Level: level})).With(slog.String("host", s.Host))
	entry.SetServerLogger(l)
	h := newFrontHost(s, l)
	l.Info("start", slog.String("incarnation", h.Incarnation), slog.String("dataCentre", s.DataCentre),
		slog.String("settings", path), slog.Float64("coreShare", s.CoreShare), slog.Int64("memoryMB", s.MemoryMB))
	err := serveAndDrain(ctx, h, path)
	l.Info("stop", slog.Any("error", err))
	stopLog()
	return errors.CombineErrors(err, <-logDone)
}

// newFrontHost returns a host whose dependencies are clients of the platform.
func newFrontHost(s *hostconfig.Settings, l *slog.Logger) *frontend.Host {
	c := platform.NewHTTPClient()
	w := platform.WorkerClient{Client: c}
	h := &frontend.Host{
		Settings: *s, Incarnation: uuid.NewString()[:13], Logger: l,
		Dependencies: frontend.Dependencies{
			Store: platform.NewStore(c, s.StoreAddress),
			Topics: frontend.Topics{
				Configuration: platform.TopicConfiguration, Workers: platform.TopicWorkers,
				Status: platform.TopicStatus, Jobs: platform.TopicJobs, Details: platform.TopicDetails,
				ConfigurationKey: platform.KeyConfiguration, EvacuationPrefix: platform.EvacuationPrefix,
			},
			DecodeConfiguration: platform.DecodeConfiguration, DecodeWorker: platform.DecodeWorker,
			DecodeEvacuation: platform.DecodeEvacuation,
			Start:            w.Start, Stop: w.Stop, Poll: w.Poll,
		},
	}
	if s.AdviceAddress != "" {
		h.QueryAdvice = platform.AdviceClient{Client: c, Address: s.AdviceAddress}.Query
	}
	return h
}

// serveAndDrain runs h and its servers until ctx ends and then drains. It returns
// early when a server or the host ends.
func serveAndDrain(ctx context.Context, h *frontend.Host, path string) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	budget := newClientBudget(h)
	servers := []*httpserver.Server{
		newFrontServer(h.CallersAddress, platform.RequestHandler(h)), newFrontServer(h.ReadyAddress, platform.ReadinessHandler(h)),
	}
	if h.MetricsAddress != "" {
		servers = append(servers, newFrontServer(h.MetricsAddress, metricsHandler(h, budget)))
	}
	for i, p := range newPools(budget)[:len(servers)] {
		servers[i].Pool = p
	}
	budgetDone := make(chan error, 1)
	go func() { budgetDone <- budget.Run(workCtx) }()
	serverErrs := make(chan error, len(servers))
	for _, s := range servers {
		go func() { serverErrs <- s.Start(workCtx) }()
	}
	hostDone := make(chan error, 1)
	go func() { hostDone <- h.Run(workCtx) }()
	watchDone := make(chan error, 1)
	go func() { watchDone <- watchSettings(workCtx, h, path) }()
	var err error
	select {
	case <-ctx.Done():
		h.Logger.Info("draining")
		h.Drain()
		retry.Pause(workCtx, drainDelay)
		err = stopServers(workCtx, servers, serverErrs)
	case err = <-serverErrs:
		err = errors.Wrap(err, "a server has ended")
	case err = <-hostDone:
		hostDone <- nil
	}
	cancel()
	return errors.CombineErrors(err, errors.CombineErrors(<-hostDone, errors.CombineErrors(<-watchDone, <-budgetDone)))
}

// newFrontServer returns a server without a timeout, because each request carries
// its own.
func newFrontServer(address string, next http.Handler) *httpserver.Server {
	return httpserver.New(address, nil, next)
}

// stopServers stops the servers and waits up to stopTimeout for open requests. It
// also receives the result of each server from serverErrs.
func stopServers(ctx context.Context, servers []*httpserver.Server, serverErrs chan error) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return httpserver.StopAll(ctx, servers, serverErrs)
}

// stopTimeout bounds the time for open requests after a drain. Callers wait about
// three seconds for a response.
const stopTimeout = 3200 * time.Millisecond

// watchSettings reloads the settings on SIGHUP and when the file has changed, until
// ctx ends. It logs the changed settings that take effect only after a restart, and
// logs invalid settings without applying them.
func watchSettings(ctx context.Context, h *frontend.Host, path string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	previous, _ := platform.LoadSettings(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			signalled = true
		case <-t.C:
		}
		s, problems := platform.LoadSettings(path)
		for _, p := range problems {
			h.Logger.Error("settings not used", slog.String("problem", p.String()))
		}
		if len(problems) > 0 || s == previous && !signalled {
			continue
		}
		needRestart := s.NeedsRestart(&previous)
		h.Logger.Info("reload", slog.String("settings", path), slog.Bool("signal", signalled), slog.Bool("changed", s != previous),
			slog.Any("needRestart", needRestart))
		h.Reload(&s)
		previous = s
	}
}
