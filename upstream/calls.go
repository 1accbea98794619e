package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetrelay/limpetrelay/wire"
)

// The request types keep the messages on the wire separate from the exported
// structs.
type (
	heartbeatRequest struct{ Heartbeat }
	reserveRequest   struct{ Order }
	startRequest     struct{ Start }
	stopRequest      struct{ Stop }
	runRequest       struct{ Run }
	awaitRequest     struct{ Await }
	outputRequest    struct{ OutputRequest }
)

// CallTimeout is the time allowed for a call in addition to its own wait. A call
// that exceeds it is on an unresponsive connection, which is then closed.
const CallTimeout = 1500 * time.Millisecond

// Register registers the calls of w on mux.
func Register(mux *http.ServeMux, w Worker) {
	handle(mux, "heartbeat", func(ctx context.Context, r *heartbeatRequest) (Report, error) {
		return w.Heartbeat(ctx, r.Heartbeat)
	})
	handle(mux, "reserve", func(ctx context.Context, r *reserveRequest) (TaskReport, error) {
		return w.Reserve(ctx, r.Order)
	})
	handle(mux, "start", func(ctx context.Context, r *startRequest) (TaskReport, error) {
		return w.Start(ctx, r.Start)
	})
	handle(mux, "stop", func(ctx context.Context, r *stopRequest) (TaskReport, error) {
		return w.Stop(ctx, r.Stop)
	})
	handle(mux, "run", func(ctx context.Context, r *runRequest) (RunReport, error) {
		return w.Run(ctx, r.Run)
	})
	handle(mux, "await", func(ctx context.Context, r *awaitRequest) (RunReport, error) {
		return w.Await(ctx, r.Await)
	})
	handle(mux, "output", func(ctx context.Context, r *outputRequest) (OutputPart, error) {
		return w.Output(ctx, r.OutputRequest)
	})
}

// NewClient returns a Worker that calls the worker at base, for example "http://127.0.0.1:7100".
func NewClient(c *http.Client, base string) Worker {
	heartbeat := client[heartbeatRequest, Report](c, base, "heartbeat")
	reserve := client[reserveRequest, TaskReport](c, base, "reserve")
	start := client[startRequest, TaskReport](c, base, "start")
	stop := client[stopRequest, TaskReport](c, base, "stop")
	run := client[runRequest, RunReport](c, base, "run")
	await := client[awaitRequest, RunReport](c, base, "await")
	output := client[outputRequest, OutputPart](c, base, "output")
	return Worker{
		Heartbeat: func(ctx context.Context, h Heartbeat) (Report, error) {
			return heartbeat(ctx, &heartbeatRequest{h}, h.Wait)
		},
		Reserve: func(ctx context.Context, o Order) (TaskReport, error) {
			return reserve(ctx, &reserveRequest{o}, 0)
		},
		Start: func(ctx context.Context, s Start) (TaskReport, error) {
			return start(ctx, &startRequest{s}, 0)
		},
		Stop: func(ctx context.Context, s Stop) (TaskReport, error) {
			return stop(ctx, &stopRequest{s}, s.Grace)
		},
		Run: func(ctx context.Context, r Run) (RunReport, error) {
			return run(ctx, &runRequest{r}, r.Wait)
		},
		Await: func(ctx context.Context, a Await) (RunReport, error) {
			return await(ctx, &awaitRequest{a}, a.Wait)
		},
		Output: func(ctx context.Context, o OutputRequest) (OutputPart, error) {
			return output(ctx, &outputRequest{o}, 0)
		},
	}
}

// handle registers fn on mux as the call of the given name.
func handle[Req, Res any](mux *http.ServeMux, name string, fn func(context.Context, *Req) (Res, error)) {
	wire.Handle(mux, "/worker/"+name, func(ctx context.Context, r *Req) (*Res, error) {
		res, err := fn(ctx, r)
		return &res, err
	})
}

// client returns a function that makes the call of the given name to base. The
// function's last argument is the call's own wait, in milliseconds.
func client[Req, Res any](c *http.Client, base, name string) func(context.Context, *Req, int64) (Res, error) {
	call := wire.Call[Req, Res](c, base, "/worker/"+name)
	return func(ctx context.Context, r *Req, wait int64) (res Res, err error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond+CallTimeout)
		defer cancel()
		p, err := call(ctx, r)
		if err != nil {
			return res, err
		}
		return *p, nil
	}
}
