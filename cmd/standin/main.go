// Command standin simulates the platform and workers on loopback, for tests and
// local development.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the command line until it ends or is interrupted.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "standin",
		Usage: "simulate the platform or workers on loopback",
		Commands: []*cli.Command{
			platformCommand(), workerCommand(), workersCommand(),
		},
	}
	return errors.Wrap(app.Run(ctx, os.Args), "standin")
}

// platformCommand returns the command `standin platform`. Its server also accepts
// changes to the host list at /hosts and faults to inject at /faults.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "simulate the log service and the host list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "IP number and port"},
			&cli.DurationFlag{Name: "retention", Usage: "how long the log keeps entries; 0 keeps them forever"},
			&cli.DurationFlag{Name: "lag", Usage: "delay until a change of the host list is visible"},
			&cli.IntFlag{Name: "rate", Usage: "maximum number of appends per second; 0 for no limit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			log := &standin.Log{Retention: c.Duration("retention"), Rate: c.Int("rate")}
			dir := &standin.Directory{Lag: c.Duration("lag")}
			mux := http.NewServeMux()
			logservice.Register(mux, log.Service(), dir.Service())
			mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, r *http.Request) {
				var h logservice.Host
				if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
				dir.Set(h)
			})
			mux.HandleFunc("DELETE /hosts/{name}", func(_ http.ResponseWriter, r *http.Request) {
				dir.Remove(r.PathValue("name"))
			})
			mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
				var f standin.LogFaults
				if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
				log.SetFaults(f)
			})
			return serve(ctx, c.String("listen"), mux)
		},
	}
}

// workerCommand returns the command `standin worker`. Its server also returns the
// runs of the worker at /history and accepts faults to inject at /faults.
func workerCommand() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: "simulate a worker that runs simulated tasks",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7100", Usage: "IP number and port"},
			&cli.StringFlag{Name: "name", Required: true, Usage: "name of the worker"},
			&cli.StringFlag{Name: "data-centre", Required: true, Usage: "data centre of the worker"},
			&cli.StringFlag{Name: "rack", Value: "r1", Usage: "rack of the worker"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "number of slots: 1, 2, 4 or 8"},
			&cli.BoolFlag{Name: "plain", Usage: "the worker has no accelerators"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			w := &standin.Worker{
				Name: c.String("name"), DataCentre: c.String("data-centre"), Rack: c.String("rack"),
				Slots: c.Int("slots"), CPUOnly: c.Bool("plain"), Incarnation: uuid.NewString(),
			}
			mux := http.NewServeMux()
			upstream.Register(mux, w.Upstream())
			mux.HandleFunc("GET /history", func(rw http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(rw).Encode(w.History())
			})
			mux.HandleFunc("POST /faults", func(rw http.ResponseWriter, r *http.Request) {
				var f standin.WorkerFaults
				if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
					http.Error(rw, err.Error(), http.StatusBadRequest)
					return
				}
				w.SetFaults(f)
			})
			return serve(ctx, c.String("listen"), mux)
		},
	}
}

// workersCommand returns the command `standin workers`, which runs many workers in
// one process.
func workersCommand() *cli.Command {
	return &cli.Command{
		Name:  "workers",
		Usage: "simulate many workers, eight per rack, and register them with the platform",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "count", Required: true, Usage: "number of workers"},
			&cli.StringFlag{Name: "data-centre", Required: true, Usage: "data centre of the workers"},
			&cli.StringFlag{Name: "platform", Required: true, Usage: "base address of the platform"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			serveErrs := make(chan error, 1)
			for i := range c.Int("count") {
				if err := startWorker(ctx, c, i, serveErrs); err != nil {
					return err
				}
			}
			select {
			case err := <-serveErrs:
				return err
			case <-ctx.Done():
				return nil
			}
		},
	}
}

// startWorker serves worker i on a free port and registers it with the platform.
// It sends the error of the server to serveErrs.
func startWorker(ctx context.Context, c *cli.Command, i int, serveErrs chan error) error {
	const workersPerRack = 8
	dc := c.String("data-centre")
	w := &standin.Worker{
		Name: fmt.Sprintf("%s-w%04d", dc, i), DataCentre: dc, Rack: fmt.Sprintf("%s-r%03d", dc, i/workersPerRack),
		Incarnation: uuid.NewString(),
	}
	mux := http.NewServeMux()
	upstream.Register(mux, w.Upstream())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	go func() { serveErrs <- http.Serve(l, mux) }()
	b, err := json.Marshal(logservice.Host{Name: w.Name, Kind: logservice.KindWorker, DataCentre: dc, Address: l.Addr().String()})
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.String("platform")+"/hosts", bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "register the worker")
	}
	return errors.Wrap(res.Body.Close(), "register the worker")
}

// serve serves mux on address until ctx ends.
func serve(ctx context.Context, address string, mux http.Handler) error {
	const headerTimeout = 5 * time.Second
	s := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: headerTimeout}
	serveErrs := make(chan error, 1)
	go func() { serveErrs <- s.ListenAndServe() }()
	select {
	case err := <-serveErrs:
		return errors.Wrap(err, "listen")
	case <-ctx.Done():
		return errors.Wrap(s.Close(), "close")
	}
}
