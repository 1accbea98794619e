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
	latency   time.Duration
	errorKind string
}

// day collects what happened.
type scenario struct {
	*cluster
	mu        sync.Mutex
	requests  []*request
	samples   []fragmentationSample
	progressf func(format string, args ...any)
}

// sample is the fragmentation at one time.
type fragmentationSample struct {
	at time.Duration
	// byLevel is keyed by data centre and level.
	byLevel map[string]map[string]float64
}

// reply is the part of a response that the demo looks at.
type response struct {
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
func (sc *scenario) newRequest(echo string, spec job.Spec, run time.Duration) *request {
	spec.Payload = standin.TaskSpec{RunTime: run.Milliseconds(), Echo: echo}.Payload()
	if spec.RunTime == 0 {
		spec.RunTime = run.Milliseconds()
	}
	r := &request{Told: audit.Told{Echo: echo, Spec: spec}}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.requests = append(sc.requests, r)
	return r
}

// submit sends a request to a host and notes what is told.
func (sc *scenario) submit(ctx context.Context, host string, r *request, wait time.Duration) {
	body := struct {
		job.Spec
		Wait int64 `json:"wait"`
	}{r.Spec, wait.Milliseconds()}
	startedAt := time.Now()
	rep, err := sc.post(ctx, host, "/v1/jobs", body, wait)
	took := time.Since(startedAt)
	sc.recordReply(r, func() { r.latency = max(r.latency, took) }, rep, err)
}

// note keeps what was told about a request, with the time it took as measure
// sets it: two hosts can answer the same request at once.
func (sc *scenario) recordReply(r *request, measure func(), res *response, err error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	measure()
	switch {
	case err != nil:
		r.Errors = append(r.Errors, err.Error())
	case res.Error != nil:
		r.Errors = append(r.Errors, res.Error.Message)
		r.errorKind = res.Error.Kind
	default:
		r.Job = res.Job
		if res.Outcome != nil {
			r.Results = append(r.Results, res.Outcome.Result)
		}
		if len(res.Output) > 0 {
			r.Output = string(res.Output)
		}
	}
}

// wait waits for the end of a request's job at a host.
func (sc *scenario) waitForJob(ctx context.Context, host string, r *request) {
	startedAt := time.Now()
	rep, err := sc.get(ctx, host, "/v1/jobs/"+r.Job+"?wait=30000")
	took := time.Since(startedAt)
	sc.recordReply(r, func() { r.latency += took }, rep, err)
}

// patch submits a patch against version base.
func (sc *scenario) submitPatch(ctx context.Context, host string, base uint64, changes ...config.Change) error {
	rep, err := sc.post(ctx, host, "/v1/config/patches", config.Patch{Base: base, Author: "demo", Changes: changes}, 0)
	if err != nil {
		return err
	}
	if rep.Error != nil {
		return errors.Newf("the patch was refused: %s", rep.Error.Message)
	}
	return waitUntil(ctx, "the patch is in force everywhere", func() bool {
		for _, h := range sc.hosts {
			if h.View().Version <= base {
				return false
			}
		}
		return true
	})
}

// post sends a JSON body.
func (sc *scenario) post(ctx context.Context, host, path string, body any, wait time.Duration) (*response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return sc.do(ctx, http.MethodPost, host, path, b, wait)
}

// get asks for a path.
func (sc *scenario) get(ctx context.Context, host, path string) (*response, error) {
	const maxWait = 30 * time.Second
	return sc.do(ctx, http.MethodGet, host, path, nil, maxWait)
}

// do sends one request.
func (sc *scenario) do(ctx context.Context, method, host, path string, body []byte, wait time.Duration) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, sc.hosts[host].address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	defer func() { _ = res.Body.Close() }()
	rep := &response{}
	return rep, errors.Wrap(json.NewDecoder(res.Body).Decode(rep), "read the answer")
}
