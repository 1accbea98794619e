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
	// maxResponse bounds a JSON response, in bytes.
	maxResponseBytes = 16 << 20
	// callSlack is the time that a call may take beyond its wait.
	callMargin = 20 * time.Second
)

// client calls entry hosts.
type client struct {
	// hosts lists base addresses; the next is tried when one cannot be reached
	// or refuses because it is not ready.
	hosts []string
	http  http.Client
}

// jobAnswer is the response about a job.
type jobResponse struct {
	Job     string          `json:"job,omitempty"`
	State   string          `json:"state,omitempty"`
	Outcome *job.Outcome    `json:"outcome,omitempty"`
	Output  []byte          `json:"output,omitempty"`
	Detail  json.RawMessage `json:"detail,omitempty"`
}

// patchAnswer is the response to a patch.
type patchResponse struct {
	Version uint64         `json:"version"`
	Config  *config.Config `json:"config,omitempty"`
}

// refusal is the body of every refusal.
type errorResponse struct {
	Error *fault.Error `json:"error"`
}

// hostFlag names the entry hosts.
func hostFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "host", Sources: cli.EnvVars("LIMPETRELAY_HOST"), Value: "http://127.0.0.1:7001",
		Usage: "base addresses of entry hosts, separated by commas",
	}
}

// outputFlag chooses the form of the output.
func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"}
}

// newClient returns the client that the flags ask for.
func newClient(c *cli.Command) (*client, error) {
	cl := &client{}
	for _, h := range strings.Split(c.String("host"), ",") {
		h = strings.TrimSuffix(strings.TrimSpace(h), "/")
		if !strings.HasPrefix(h, "http://") && !strings.HasPrefix(h, "https://") {
			return nil, fault.Newf(fault.Invalid, "write it as http://127.0.0.1:7001", "%q is not a base address", h)
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

// clientAction returns an action that is given the client that the flags ask
// for.
func clientAction(run func(context.Context, *cli.Command, *client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		cl, err := newClient(c)
		if err != nil {
			return err
		}
		return run(ctx, c, cl)
	}
}

// oneArgument returns the only argument, which the error calls what.
func singleArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", fault.Newf(fault.Invalid, "give exactly one", "%s is missing, or there are several", what)
	}
	return c.Args().First(), nil
}

// call sends a request to the first host that takes it and decodes the
// response into v. A request is sent to a further host only when nothing was
// done at the one before.
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

// callHost sends a request to one host.
func (cl *client) callHost(ctx context.Context, host, method, path string, body []byte, v any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, host+path, bytes.NewReader(body))
	if err != nil {
		return fault.Newf(fault.Invalid, "correct the address", "cannot make the request: %v", err)
	}
	res, err := cl.http.Do(r)
	if err != nil {
		return transportError(host, err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fault.Newf(fault.Unknown, "ask for the request by its key", "the answer of %s was cut: %v", host, err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		var f errorResponse
		if json.Unmarshal(b, &f) != nil || f.Error == nil {
			return fault.Newf(fault.Unknown, "check that an entry host listens there", "%s answered %s", host, res.Status)
		}
		return fault.New(f.Error.Kind, f.Error.Message, f.Error.Remedy)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fault.Newf(fault.Unknown, "check that an entry host listens there", "%s answered malformed JSON: %v", host, err)
	}
	return nil
}

// transportError tells a request that was never sent from a lost answer.
func transportError(host string, err error) error {
	if strings.Contains(err.Error(), "dial ") {
		return fault.Newf(fault.Unavailable, "check the address, or use another host", "cannot reach %s: %v", host, err)
	}
	return fault.Newf(fault.Unknown, "ask for the request by its key before you repeat it", "no answer from %s: %v", host, err)
}

// show prints v as JSON, or calls text.
func writeOutput(c *cli.Command, v any, text func(w io.Writer)) error {
	if c.String("output") != "json" {
		text(c.Root().Writer)
		return nil
	}
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fault.Newf(fault.Internal, "report this defect", "cannot print: %v", err)
	}
	return nil
}

// printJob prints a job for people.
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

// outcomeError returns the error that gives the exit code of an outcome.
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
