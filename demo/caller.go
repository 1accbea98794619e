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

// request is one request of a caller with all responses to it.
type request struct {
	audit.RequestHistory
	// latency is how long the caller waited: the longest submission and all later
	// queries.
	latency time.Duration
	// errorKind is the kind of the last error response.
	errorKind string
}

// scenario runs the steps of the demo and collects the results.
type scenario struct {
	*cluster
	// mu guards requests and the fields of each.
	mu       sync.Mutex
	requests []*request
	samples  []fragmentationSample
	// progressf prints a line of progress with the time since the start.
	progressf func(format string, args ...any)
}

// fragmentationSample is the fragmentation of all data centres at one time.
type fragmentationSample struct {
	// at is the time since the start of the demo.
	at time.Duration
	// byLevel is keyed by data centre and then by cell level.
	byLevel map[string]map[string]float64
}

// response has the fields that the demo uses of an entry host's response.
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

// newRequest adds a request for a simulated task to the results. Its echo identifies
// it in the histories of the workers.
func (sc *scenario) newRequest(echo string, spec job.Spec, run time.Duration) *request {
	spec.Payload = standin.TaskSpec{RunTime: run.Milliseconds(), Echo: echo}.Payload()
	if spec.RunTime == 0 {
		spec.RunTime = run.Milliseconds()
	}
	r := &request{RequestHistory: audit.RequestHistory{Echo: echo, Spec: spec}}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.requests = append(sc.requests, r)
	return r
}

// submit sends a request to a host and records the response. The host may hold the
// response until the job ends, for at most wait.
func (sc *scenario) submit(ctx context.Context, host string, r *request, wait time.Duration) {
	body := struct {
		job.Spec
		Wait int64 `json:"wait"`
	}{r.Spec, wait.Milliseconds()}
	startedAt := time.Now()
	res, err := sc.post(ctx, host, "/v1/jobs", body, wait)
	took := time.Since(startedAt)
	sc.recordResponse(r, func() { r.latency = max(r.latency, took) }, res, err)
}

// recordResponse records the response to a request, or the error. It calls
// updateLatency while it holds mu, since two hosts can answer the same request at
// once.
func (sc *scenario) recordResponse(r *request, updateLatency func(), res *response, err error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	updateLatency()
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

// waitForJob queries a host for the job of a request, and waits for up to 30 s until
// the job ends.
func (sc *scenario) waitForJob(ctx context.Context, host string, r *request) {
	startedAt := time.Now()
	res, err := sc.get(ctx, host, "/v1/jobs/"+r.Job+"?wait=30000")
	took := time.Since(startedAt)
	sc.recordResponse(r, func() { r.latency += took }, res, err)
}

// submitPatch submits a patch against configuration version base and waits until it
// is in force on all hosts.
func (sc *scenario) submitPatch(ctx context.Context, host string, base uint64, changes ...config.Change) error {
	res, err := sc.post(ctx, host, "/v1/config/patches", config.Patch{Base: base, Author: "demo", Changes: changes}, 0)
	if err != nil {
		return err
	}
	if res.Error != nil {
		return errors.Newf("the configuration patch was rejected: %s", res.Error.Message)
	}
	return waitUntil(ctx, "the patch is in force on all hosts", func() bool {
		for _, h := range sc.hosts {
			if h.View().Version <= base {
				return false
			}
		}
		return true
	})
}

// post sends body as JSON. The request may take up to 10 s longer than wait.
func (sc *scenario) post(ctx context.Context, host, path string, body any, wait time.Duration) (*response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return sc.do(ctx, http.MethodPost, host, path, b, wait)
}

// get requests a path of a host.
func (sc *scenario) get(ctx context.Context, host, path string) (*response, error) {
	const maxWait = 30 * time.Second
	return sc.do(ctx, http.MethodGet, host, path, nil, maxWait)
}

// do sends one HTTP request and decodes the response. It times out 10 s after wait.
func (sc *scenario) do(ctx context.Context, method, host, path string, body []byte, wait time.Duration) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, sc.hosts[host].address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	defer func() { _ = res.Body.Close() }()
	decoded := &response{}
	return decoded, errors.Wrap(json.NewDecoder(res.Body).Decode(decoded), "decode the response")
}
