package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
)

// submitBody is the body of POST /v1/jobs. Wait is in milliseconds.
type submitBody struct {
	job.Spec
	Wait int64 `json:"wait"`
}

// submitCommand returns the command `limpetrelay submit`.
func submitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submit a job and wait for its outcome, or return its ID",
		Description: "Examples:\n" +
			"  limpetrelay submit --organisation skimworks --class routePlan --members 4 --adjacency rack \\\n" +
			"    --accelerators 8 --key plan-2026-12-04 --wait 5m --payload-file plan.json\n" +
			"  limpetrelay submit --organisation bureau --class barcodeBatch --once --key batch-17 --wait 0\n\n" +
			"A request with --once runs at most once; pass a --key so that its status can be queried\n" +
			"at any host. Small repeatable requests without a key are served even while the log is down.\n\n" + exitCodeHelp,
		Flags: []cli.Flag{
			hostFlag(), outputFlag(),
			&cli.StringFlag{Name: "organisation", Required: true},
			&cli.StringFlag{Name: "class", Required: true},
			&cli.StringFlag{Name: "key", Usage: "request key, chosen by the caller; makes repeating the request idempotent"},
			&cli.BoolFlag{Name: "once", Usage: "run at most once"},
			&cli.BoolFlag{Name: "urgent", Usage: "place before jobs that are not urgent"},
			&cli.IntFlag{Name: "members", Value: 1, Usage: "number of members of the gang"},
			&cli.StringFlag{Name: "adjacency", Value: "any", Usage: "any, rack or worker"},
			&cli.IntFlag{Name: "accelerators", Usage: "accelerators per member"},
			&cli.IntFlag{Name: "cores", Usage: "processor cores per member"},
			&cli.IntFlag{Name: "memory", Usage: "GiB per member"},
			&cli.DurationFlag{Name: "run-time", Usage: "declared run time"},
			&cli.DurationFlag{Name: "wait", Value: 30 * time.Second, Usage: "how long to wait for the outcome"},
			&cli.StringFlag{Name: "payload", Usage: "payload"},
			&cli.StringFlag{Name: "payload-file", Usage: "file with the payload"},
		},
		Action: clientAction(submit),
	}
}

// submit runs `limpetrelay submit`.
func submit(ctx context.Context, c *cli.Command, cl *client) error {
	payload := []byte(c.String("payload"))
	if f := c.String("payload-file"); f != "" {
		var err error
		if payload, err = os.ReadFile(f); err != nil {
			return fault.Newf(fault.Invalid, "give the path of a readable file", "cannot read the payload: %v", err)
		}
	}
	b := submitBody{Wait: c.Duration("wait").Milliseconds(), Spec: job.Spec{
		Organisation: c.String("organisation"), Class: c.String("class"), Key: c.String("key"),
		AtMostOnce: c.Bool("once"), Urgent: c.Bool("urgent"), Members: c.Int("members"),
		Adjacency: rack.Adjacency(c.String("adjacency")), Accelerators: c.Int("accelerators"),
		Cores: c.Int("cores"), Memory: c.Int("memory"), RunTime: c.Duration("run-time").Milliseconds(), Payload: payload,
	}}
	if err := b.Validate(); err != nil {
		return err
	}
	var a jobResponse
	if err := cl.call(ctx, http.MethodPost, "/v1/jobs", b, &a, c.Duration("wait")); err != nil {
		return err
	}
	return reportJob(c, &a, c.Duration("wait") > 0)
}

// reportJob prints a job and returns the error of its outcome, which determines
// the exit code. When waited is false, a job without an outcome is not an error.
func reportJob(c *cli.Command, a *jobResponse, waited bool) error {
	if err := writeOutput(c, a, func(w io.Writer) { printJob(w, a) }); err != nil {
		return err
	}
	if !waited && a.Outcome == nil {
		return nil
	}
	return outcomeError(a)
}

// statusCommand returns the command `limpetrelay status`.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show a job, a request by its key, or an entry host",
		ArgsUsage: "[JOB]",
		Description: "Examples:\n" +
			"  limpetrelay status                                       # an entry host and its workers\n" +
			"  limpetrelay status 4f1c-17 --wait 10m                    # a job\n" +
			"  limpetrelay status --organisation bureau --key batch-17  # a request by its key\n\n" + exitCodeHelp,
		Flags: []cli.Flag{
			hostFlag(), outputFlag(),
			&cli.StringFlag{Name: "organisation"},
			&cli.StringFlag{Name: "key"},
			&cli.DurationFlag{Name: "wait", Usage: "how long to wait for the outcome"},
		},
		Action: clientAction(status),
	}
}

// status runs `limpetrelay status`.
func status(ctx context.Context, c *cli.Command, cl *client) error {
	path := "/v1/jobs/" + url.PathEscape(c.Args().First())
	switch {
	case c.String("key") != "":
		path = "/v1/requests/" + url.PathEscape(c.String("organisation")) + "/" + url.PathEscape(c.String("key"))
	case c.Args().Len() == 0:
		return hostStatus(ctx, c, cl)
	}
	path += "?wait=" + strconv.FormatInt(c.Duration("wait").Milliseconds(), 10)
	var a jobResponse
	if err := cl.call(ctx, http.MethodGet, path, nil, &a, c.Duration("wait")); err != nil {
		return err
	}
	return reportJob(c, &a, c.Duration("wait") > 0)
}

// hostStatusResponse is the part of the response of GET /v1/status that is printed
// as text. The untagged field names are the keys of the response.
type hostStatusResponse struct {
	Host       string
	DataCentre string
	Ready      bool
	Stuck      string
	PlacerName string
	Term       uint64
	Version    uint64
	LogDown    bool
	Queued     int
	Placed     int
	Shortfall  string
	Workers    []struct {
		Name, Rack, State string
		Slots, Taken      int
	}
}

// hostStatus prints the status of an entry host and its workers.
func hostStatus(ctx context.Context, c *cli.Command, cl *client) error {
	var raw map[string]any
	if err := cl.call(ctx, http.MethodGet, "/v1/status", nil, &raw, 0); err != nil {
		return err
	}
	return writeOutput(c, raw, func(w io.Writer) {
		var h hostStatusResponse
		convertViaJSON(raw, &h)
		_, _ = fmt.Fprintf(w, "host %s in %s: ready %t %s, placer %s (term %d), config version %d, log down %t\n",
			h.Host, h.DataCentre, h.Ready, h.Stuck, h.PlacerName, h.Term, h.Version, h.LogDown)
		_, _ = fmt.Fprintf(w, "jobs: %d queued, %d placed\n", h.Queued, h.Placed)
		if h.Shortfall != "" {
			_, _ = fmt.Fprintf(w, "guarantees short by: %s\n", h.Shortfall)
		}
		for _, worker := range h.Workers {
			_, _ = fmt.Fprintf(w, "worker %-16s rack %-10s %-8s %d of %d slots taken\n", worker.Name, worker.Rack, worker.State, worker.Taken, worker.Slots)
		}
	})
}

// cancelCommand returns the command `limpetrelay cancel`.
func cancelCommand() *cli.Command {
	return &cli.Command{
		Name:        "cancel",
		Usage:       "cancel a job",
		ArgsUsage:   "JOB",
		Description: "Example: limpetrelay cancel 4f1c-17 --by clerk-9\n\n" + exitCodeHelp,
		Flags: []cli.Flag{
			hostFlag(), outputFlag(),
			&cli.StringFlag{Name: "by", Required: true, Usage: "who cancels; recorded with the job"},
		},
		Action: clientAction(func(ctx context.Context, c *cli.Command, cl *client) error {
			id, err := singleArgument(c, "a job ID")
			if err != nil {
				return err
			}
			var a jobResponse
			path := "/v1/jobs/" + url.PathEscape(id) + "/cancel"
			body := struct {
				By string `json:"by"`
			}{c.String("by")}
			if err := cl.call(ctx, http.MethodPost, path, body, &a, 0); err != nil {
				return err
			}
			return reportJob(c, &a, false)
		}),
	}
}

// answerCommand returns the command `limpetrelay answer`.
func answerCommand() *cli.Command {
	return &cli.Command{
		Name:        "answer",
		Usage:       "write the complete answer of a completed job to standard output",
		ArgsUsage:   "JOB",
		Description: "Verifies the length and SHA-256 of the answer.\n\nExample: limpetrelay answer 4f1c-17 --member 2 > plan.bin\n\n" + exitCodeHelp,
		Flags: []cli.Flag{
			hostFlag(),
			&cli.IntFlag{Name: "member", Usage: "index of the member, from 0"},
		},
		Action: clientAction(func(ctx context.Context, c *cli.Command, cl *client) error {
			id, err := singleArgument(c, "a job ID")
			if err != nil {
				return err
			}
			return cl.download(ctx, c.Root().Writer, id, c.Int("member"))
		}),
	}
}
