package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/audit"
	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/standin"
)

// request is one line of the table.
type request struct {
	audit.Told
	took time.Duration
	note string
}

// day collects what happened.
type day struct {
	*yard
	mu       sync.Mutex
	requests []*request
	samples  []sample
	out      func(format string, args ...any)
}

// sample is the fragmentation at one time.
type sample struct {
	at time.Duration
	// byLevel is keyed by data centre and level.
	byLevel map[string]map[string]float64
}

// reply is the part of a response that the demo looks at.
type reply struct {
	Job     string       `json:"job"`
	State   string       `json:"state"`
	Outcome *job.Outcome `json:"outcome"`
	Output  []byte       `json:"output"`
	Error   *struct {
		Kind    string `json:"kind"`
		Message string `json:"message"`
	} `json:"error"`
}

// newRequest enters a request into the table.
func (d *day) newRequest(echo string, s job.Spec, run time.Duration) *request {
	s.Payload = standin.Work{Run: run.Milliseconds(), Echo: echo}.Payload()
	if s.RunTime == 0 {
		s.RunTime = run.Milliseconds()
	}
	r := &request{Told: audit.Told{Echo: echo, Spec: s}}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, r)
	return r
}

// submit sends a request to a host and notes what is told.
func (d *day) submit(ctx context.Context, host string, r *request, wait time.Duration) {
	body := struct {
		job.Spec
		Wait int64 `json:"wait"`
	}{r.Spec, wait.Milliseconds()}
	began := time.Now()
	rep, err := d.post(ctx, host, "/v1/jobs", body, wait)
	took := time.Since(began)
	d.note(r, func() { r.took = max(r.took, took) }, rep, err)
}

// note keeps what was told about a request, with the time it took as measure
// sets it: two hosts can answer the same request at once.
func (d *day) note(r *request, measure func(), rep *reply, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	measure()
	switch {
	case err != nil:
		r.Errors = append(r.Errors, err.Error())
	case rep.Error != nil:
		r.Errors = append(r.Errors, rep.Error.Message)
		r.note = rep.Error.Kind
	default:
		r.Job = rep.Job
		if rep.Outcome != nil {
			r.Results = append(r.Results, rep.Outcome.Result)
		}
		if len(rep.Output) > 0 {
			r.Output = string(rep.Output)
		}
	}
}

// wait waits for the end of a request's job at a host.
func (d *day) wait(ctx context.Context, host string, r *request) {
	began := time.Now()
	rep, err := d.get(ctx, host, "/v1/jobs/"+r.Job+"?wait=30000")
	took := time.Since(began)
	d.note(r, func() { r.took += took }, rep, err)
}

// patch submits a patch against version base.
func (d *day) patch(ctx context.Context, host string, base uint64, changes ...config.Change) error {
	rep, err := d.post(ctx, host, "/v1/config/patches", config.Patch{Base: base, Author: "demo", Changes: changes}, 0)
	if err != nil {
		return err
	}
	if rep.Error != nil {
		return errors.Newf("the patch was refused: %s", rep.Error.Message)
	}
	return until(ctx, "the patch is in force everywhere", func() bool {
		for _, h := range d.hosts {
			if h.View().Version <= base {
				return false
			}
		}
		return true
	})
}

// post sends a JSON body.
func (d *day) post(ctx context.Context, host, path string, body any, wait time.Duration) (*reply, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return d.do(ctx, http.MethodPost, host, path, b, wait)
}

// get asks for a path.
func (d *day) get(ctx context.Context, host, path string) (*reply, error) {
	const longest = 30 * time.Second
	return d.do(ctx, http.MethodGet, host, path, nil, longest)
}

// do sends one request.
func (d *day) do(ctx context.Context, method, host, path string, body []byte, wait time.Duration) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, d.hosts[host].address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	defer func() { _ = res.Body.Close() }()
	rep := &reply{}
	return rep, errors.Wrap(json.NewDecoder(res.Body).Decode(rep), "read the answer")
}
