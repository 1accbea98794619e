package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
)

const (
	// maxResponseBytes bounds the size of a JSON response.
	maxResponseBytes = 16 << 20
	// callMargin is added to the requested wait to get the timeout of a call.
	callMargin = 20 * time.Second
)

// client calls entry hosts.
type client struct {
	// hosts lists base addresses in the order in which they are tried. A call
	// moves to the next one when a host is unreachable, not ready or draining.
	hosts []string
	http  http.Client
}

// jobResponse is the response that describes a job.
type jobResponse struct {
	Job     string          `json:"job,omitempty"`
	State   string          `json:"state,omitempty"`
	Outcome *job.Outcome    `json:"outcome,omitempty"`
	Output  []byte          `json:"output,omitempty"`
	Detail  json.RawMessage `json:"detail,omitempty"`
}

// patchResponse is the response to a configuration patch.
type patchResponse struct {
	Version uint64         `json:"version"`
	Config  *config.Config `json:"config,omitempty"`
}

// errorResponse is the body of every error response.
type errorResponse struct {
	Error *fault.Error `json:"error"`
}

// hostFlag returns the flag for the base addresses of entry hosts.
func hostFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "host", Sources: cli.EnvVars("LIMPETRELAY_HOST"), Value: "http://127.0.0.1:7001",
		Usage: "base addresses of entry hosts, separated by commas",
	}
}

// outputFlag returns the flag for the output format.
func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "output format: text or json"}
}

// newClient returns a client for the hosts in the flags. It also validates the
// output format.
func newClient(c *cli.Command) (*client, error) {
	cl := &client{}
	for _, h := range strings.Split(c.String("host"), ",") {
		h = strings.TrimSuffix(strings.TrimSpace(h), "/")
		if !strings.HasPrefix(h, "http://") && !strings.HasPrefix(h, "https://") {
			return nil, fault.Newf(fault.Invalid, "use the form http://127.0.0.1:7001", "%q is not a base address", h)
		}
		cl.hosts = append(cl.hosts, h)
	}
	switch c.String("output") {
	case "", "text", "json":
		return cl, nil
	default:
		return nil, fault.Newf(fault.Invalid, "use text or json", "unknown output %q", c.String("output"))
	}
}

// clientAction returns an action that calls run with a client built from the
// flags.
func clientAction(run func(context.Context, *cli.Command, *client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		cl, err := newClient(c)
		if err != nil {
			return err
		}
		return run(ctx, c, cl)
	}
}

// singleArgument returns the only argument. The error names it as what when the
// number of arguments is not one.
func singleArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", fault.Newf(fault.Invalid, "pass exactly one", "%s is missing or given more than once", what)
	}
	return c.Args().First(), nil
}

// call sends a request to the hosts in order until one accepts it, and decodes
// the response into v. It tries the next host only after a fault of kind
// Unavailable or Draining, in which case the previous host did nothing.
func (cl *client) call(ctx context.Context, method, path string, body, v any, wait time.Duration) error {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return fault.Newf(fault.Invalid, "report this defect", "cannot encode the request: %v", err)
		}
	}
	var err error
	for _, h := range cl.hosts {
		err = cl.callHost(ctx, h, method, path, b, v, wait)
		switch fault.KindOf(err) {
		case fault.Unavailable, fault.Draining:
		default:
			return err
		}
	}
	return err
}

// callHost sends a request to one host and decodes the response into v. Its
// timeout is wait plus callMargin.
func (cl *client) callHost(ctx context.Context, host, method, path string, body []byte, v any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, host+path, bytes.NewReader(body))
	if err != nil {
		return fault.Newf(fault.Invalid, "correct the address", "cannot create the request: %v", err)
	}
	res, err := cl.http.Do(r)
	if err != nil {
		return transportError(host, err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fault.Newf(fault.Unknown, "query the request by its key", "the response of %s was truncated: %v", host, err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		var f errorResponse
		if json.Unmarshal(b, &f) != nil || f.Error == nil {
			return fault.Newf(fault.Unknown, "check that an entry host listens there", "%s returned status %s", host, res.Status)
		}
		return fault.New(f.Error.Kind, f.Error.Message, f.Error.Remedy)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fault.Newf(fault.Unknown, "check that an entry host listens there", "%s returned malformed JSON: %v", host, err)
	}
	return nil
}

// transportError classifies a transport error: Unavailable when the connection
// could not be opened, so that the request was never sent, and Unknown otherwise.
func transportError(host string, err error) error {
	if strings.Contains(err.Error(), "dial ") {
		return fault.Newf(fault.Unavailable, "check the address, or use another host", "cannot reach %s: %v", host, err)
	}
	return fault.Newf(fault.Unknown, "query the request by its key before repeating it", "no response from %s: %v", host, err)
}

// writeOutput writes v as JSON when the output format is json, and calls text
// otherwise.
func writeOutput(c *cli.Command, v any, text func(w io.Writer)) error {
	if c.String("output") != "json" {
		text(c.Root().Writer)
		return nil
	}
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fault.Newf(fault.Internal, "report this defect", "cannot write the output: %v", err)
	}
	return nil
}

// printJob writes a job as text.
func printJob(w io.Writer, a *jobResponse) {
	if a.Job != "" {
		_, _ = fmt.Fprintf(w, "job      %s\n", a.Job)
	}
	_, _ = fmt.Fprintf(w, "state    %s\n", a.State)
	if a.Outcome == nil {
		return
	}
	_, _ = fmt.Fprintf(w, "outcome  %s\n", a.Outcome.Result)
	if r := a.Outcome.Reason; r != nil {
		_, _ = fmt.Fprintf(w, "reason   %s (%s)\nremedy   %s\n", r.Message, r.Kind, r.Remedy)
	}
	if len(a.Output) > 0 {
		_, _ = fmt.Fprintf(w, "answer   %s\n", a.Output)
	}
}

// outcomeError returns the error that maps a job's outcome to an exit code, or
// nil for a completed job.
func outcomeError(a *jobResponse) error {
	if a.Outcome == nil {
		return errNoOutcome
	}
	switch a.Outcome.Result {
	case job.Completed:
		return nil
	case job.NotRun:
		return errJobNotRun
	case job.Unknown:
		return errOutcomeUnknown
	default:
		return errJobFailed
	}
}
