package entry

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
)

const (
	// maxRequestBytes bounds the body of a caller's request.
	maxRequestBytes = 2*job.MaxPayload + 16<<10
	// maxCallerWait bounds how long one request may wait for the end of a job.
	maxCallerWait = 10 * time.Minute
)

// submitRequest is the body of POST /v1/jobs.
type submitRequest struct {
	job.Spec
	// Wait is how long to wait for the end of the job, in milliseconds.
	Wait int64 `json:"wait"`
}

// jobResponse is the body of a successful response to a request about a job.
type jobResponse struct {
	Job     string       `json:"job,omitempty"`
	State   ledger.State `json:"state,omitempty"`
	Outcome *job.Outcome `json:"outcome,omitempty"`
	Output  string       `json:"output,omitempty"`
	Error   *fault.Error `json:"error,omitempty"`
	Detail  *jobDetail   `json:"detail,omitempty"`
}

// jobDetail is the part of a job's state that operators need.
type jobDetail struct {
	DataCentre  string   `json:"dataCentre"`
	Attempt     int      `json:"attempt"`
	Guaranteed  bool     `json:"guaranteed"`
	Workers     []string `json:"workers,omitempty"`
	CancelledBy string   `json:"cancelledBy,omitempty"`
}

// cancelRequest is the body of POST /v1/jobs/{id}/cancel.
type cancelRequest struct {
	By string `json:"by"`
}

// patchResponse is the body of the response to POST /v1/config/patches.
type patchResponse struct {
	Version uint64         `json:"version,omitempty"`
	Config  *config.Config `json:"config,omitempty"`
	Error   *fault.Error   `json:"error,omitempty"`
}

// historyResponse is the body of the response to GET /v1/config/history.
type historyResponse struct {
	Versions []ledger.Version `json:"versions"`
}

// statusResponse is the body of the response to GET /v1/status.
type statusResponse struct {
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	View
	Workers []workerStatus `json:"workers"`
	// Shortfall is the part of the unused guarantees that could not be allocated
	// even by preempting borrowers.
	Shortfall     string             `json:"shortfall,omitempty"`
	Fragmentation map[string]float64 `json:"fragmentation"`
	// Attempts is empty unless the host is the placer.
	Attempts []dispatch.AttemptStatus `json:"attempts"`
}

// workerStatus is the state of one worker in a statusResponse.
type workerStatus struct {
	Name      string `json:"name"`
	Rack      string `json:"rack"`
	State     string `json:"state"`
	Slots     int    `json:"slots"`
	UsedSlots int    `json:"taken"`
}

// RegisterRoutes registers the HTTP API for callers and operators on mux.
func (h *Host) RegisterRoutes(mux *http.ServeMux) {
	h.init()
	mux.HandleFunc("POST /v1/jobs", h.handleSubmit)
	mux.HandleFunc("GET /v1/jobs/{id}", h.handleWait)
	mux.HandleFunc("POST /v1/jobs/{id}/cancel", h.handleCancel)
	mux.HandleFunc("GET /v1/jobs/{id}/answers/{member}", h.handleAnswer)
	mux.HandleFunc("GET /v1/requests/{organisation}/{key}", h.handleRequest)
	mux.HandleFunc("POST /v1/config/patches", h.handlePatch)
	mux.HandleFunc("GET /v1/config", h.handleConfig)
	mux.HandleFunc("GET /v1/config/history", h.handleHistory)
	mux.HandleFunc("GET /v1/status", h.handleStatus)
	mux.HandleFunc("GET /healthz", h.handleHealth)
	mux.HandleFunc("GET /readyz", h.handleReady)
	mux.HandleFunc("GET /metrics", h.handleMetrics)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, fault.Newf(fault.NotFound, "see the operators' page for the paths", "there is no %s %s", r.Method, r.URL.Path))
	})
}

// handleSubmit serves POST /v1/jobs.
func (h *Host) handleSubmit(w http.ResponseWriter, r *http.Request) {
	var req submitRequest
	if err := readJSON(w, r, &req); err != nil {
		writeError(w, err)
		return
	}
	if req.Wait < 0 || req.Wait > maxCallerWait.Milliseconds() {
		writeError(w, fault.Newf(fault.Invalid, "set wait to 0 to 600000 milliseconds", "wait is %d", req.Wait))
		return
	}
	wait := limitWait(r.Context(), req.Wait)
	rep, err := h.Call(r.Context(), func(id string) dispatch.Event {
		return dispatch.Event{Submit: &dispatch.Submit{Waiter: id, Spec: req.Spec, Wait: wait}}
	})
	h.writeReply(w, r, &rep, err)
}

// handleWait serves GET /v1/jobs/{id}?wait=1000.
func (h *Host) handleWait(w http.ResponseWriter, r *http.Request) {
	h.waitForJob(w, r, dispatch.Wait{Job: r.PathValue("id")})
}

// handleRequest serves GET /v1/requests/{organisation}/{key}?wait=1000.
func (h *Host) handleRequest(w http.ResponseWriter, r *http.Request) {
	h.waitForJob(w, r, dispatch.Wait{Organisation: r.PathValue("organisation"), Key: r.PathValue("key")})
}

// waitForJob responds with the state of the job that q names, after waiting for
// its end for as long as the query of r allows.
func (h *Host) waitForJob(w http.ResponseWriter, r *http.Request, q dispatch.Wait) {
	ms, err := parseWait(r)
	if err != nil {
		writeError(w, err)
		return
	}
	q.Wait = limitWait(r.Context(), ms)
	rep, err := h.Call(r.Context(), func(id string) dispatch.Event {
		q.Waiter = id
		return dispatch.Event{Wait: &q}
	})
	h.writeReply(w, r, &rep, err)
}

// handleCancel serves POST /v1/jobs/{id}/cancel.
func (h *Host) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req cancelRequest
	if err := readJSON(w, r, &req); err != nil {
		writeError(w, err)
		return
	}
	if err := job.CheckName("by", req.By); err != nil {
		writeError(w, err)
		return
	}
	rep, err := h.Call(r.Context(), func(id string) dispatch.Event {
		return dispatch.Event{Cancel: &dispatch.Cancel{Waiter: id, Job: r.PathValue("id"), By: req.By}}
	})
	h.writeReply(w, r, &rep, err)
}

// handlePatch serves POST /v1/config/patches?dryRun=true.
func (h *Host) handlePatch(w http.ResponseWriter, r *http.Request) {
	var p *config.Patch
	if err := decodeBody(w, r, config.MaxPatch, patchFactor, func(b []byte) (err error) {
		p, err = config.ParsePatch(bytes.NewReader(b))
		return err
	}); err != nil {
		writeError(w, err)
		return
	}
	dryRun := r.URL.Query().Get("dryRun") == "true"
	rep, err := h.Call(r.Context(), func(id string) dispatch.Event {
		return dispatch.Event{Patch: &dispatch.Patch{Waiter: id, Patch: *p, DryRun: dryRun}}
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, patchResponse{Version: rep.Version, Config: rep.Config})
}

// handleConfig serves GET /v1/config.
func (h *Host) handleConfig(w http.ResponseWriter, r *http.Request) {
	var c config.Config
	h.writeReport(w, r, h.encodeState(r.Context(), &c, func(s *dispatch.State) { c = s.Ledger.Config.Clone() }))
}

// handleHistory serves GET /v1/config/history.
func (h *Host) handleHistory(w http.ResponseWriter, r *http.Request) {
	res := historyResponse{Versions: []ledger.Version{}}
	h.writeReport(w, r, h.encodeState(r.Context(), &res, func(s *dispatch.State) { res.Versions = append(res.Versions, s.Ledger.History...) }))
}

// handleStatus serves GET /v1/status.
func (h *Host) handleStatus(w http.ResponseWriter, r *http.Request) {
	res := statusResponse{Host: h.Host(), DataCentre: h.DataCentre, Workers: []workerStatus{}}
	h.writeReport(w, r, h.encodeState(r.Context(), &res, func(s *dispatch.State) {
		h.fillStatus(s, &res)
		res.View = h.View()
	}))
}

// fillStatus copies the workers and the placement state of s into res. It must be
// called in the state machine's goroutine.
func (h *Host) fillStatus(s *dispatch.State, res *statusResponse) {
	for _, wk := range s.Ledger.ClonedWorkers(h.DataCentre) {
		res.Workers = append(res.Workers, workerStatus{
			Name: wk.Name, Rack: wk.Rack, State: string(wk.State), Slots: wk.Slots,
			UsedSlots: s.Ledger.Plan(h.DataCentre).AllocatedSlots(wk.Name).Count(),
		})
	}
	if shortfall := s.Ledger.GuaranteeShortfall(h.DataCentre); !shortfall.IsZero() {
		res.Shortfall = shortfall.String()
	}
	res.Fragmentation = s.Fragmentation()
	res.Attempts = s.Attempts()
}

// handleHealth serves GET /healthz.
func (h *Host) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"alive"})
}

// handleReady serves GET /readyz, which the load balancer polls.
func (h *Host) handleReady(w http.ResponseWriter, _ *http.Request) {
	v := h.View()
	code := http.StatusOK
	if !v.Ready || v.Draining {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, v)
}

// handleMetrics serves GET /metrics.
func (h *Host) handleMetrics(w http.ResponseWriter, r *http.Request) {
	v := h.View()
	h.Metrics.SetGauge("invariantsChecked", float64(v.Checked))
	h.Metrics.SetGauge("invariantsBroken", float64(v.Broken))
	h.Metrics.SetGauge("jobsQueued", float64(v.Queued))
	h.Metrics.SetGauge("jobsPlaced", float64(v.Placed))
	h.Metrics.SetGauge("configVersion", float64(v.Version))
	h.Metrics.SetGauge("logAge", float64(v.LogAge))
	h.writeReport(w, r, func(w io.Writer) error {
		h.Metrics.WriteJSON(w)
		return nil
	})
}

// writeReply writes the response to a request about a job: rep, or the error.
func (h *Host) writeReply(w http.ResponseWriter, r *http.Request, rep *dispatch.Reply, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	res := jobResponse{Job: rep.Job, State: rep.State, Outcome: rep.Outcome}
	code := http.StatusOK
	if rep.Outcome == nil {
		code = http.StatusAccepted
	}
	if o := rep.Outcome; o != nil && o.Result == job.Completed {
		res.Output = h.inlineOutput(r.Context(), rep)
	}
	if rep.Job != "" {
		h.inspect(r.Context(), func(s *dispatch.State) { res.Detail = newJobDetail(s.Ledger.Jobs[rep.Job]) })
	}
	writeJSON(w, code, res)
}

// inlineOutput returns the answer of a job with a single member in base64. It
// returns an empty string for a job of several members, for an answer above
// maxInlineAnswer and for one that cannot be read; the caller then fetches the
// answers by member.
func (h *Host) inlineOutput(ctx context.Context, rep *dispatch.Reply) string {
	if rep.Output != nil {
		return base64.StdEncoding.EncodeToString(rep.Output)
	}
	if len(rep.Outcome.Answers) != 1 || rep.Outcome.Answers[0].Size > maxInlineAnswer {
		return ""
	}
	if httpserver.Reserve(ctx, answerFactor*rep.Outcome.Answers[0].Size) != nil {
		return ""
	}
	b, err := h.fetchAnswer(ctx, rep.Outcome.Answers[0])
	if err != nil {
		return ""
	}
	return base64.StdEncoding.EncodeToString(b)
}

// newJobDetail returns the detail of a job, nil when j is nil.
func newJobDetail(j *ledger.Job) *jobDetail {
	if j == nil {
		return nil
	}
	d := &jobDetail{DataCentre: j.DataCentre, Attempt: j.Attempt, Guaranteed: j.Guaranteed, CancelledBy: j.CancelledBy}
	for _, m := range j.Members {
		d.Workers = append(d.Workers, m.Worker)
	}
	return d
}

// parseWait returns the query parameter wait of r, in milliseconds; 0 when it is
// absent.
func parseWait(r *http.Request) (int64, error) {
	q := r.URL.Query().Get("wait")
	if q == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(q, 10, 64)
	if err != nil || ms < 0 || ms > maxCallerWait.Milliseconds() {
		return 0, fault.Newf(fault.Invalid, "set wait to 0 to 600000 milliseconds", "wait is %.20q", q)
	}
	return ms, nil
}

const (
	// jsonFactor is the memory for decoding a submission, per byte: the decoder's copy, which
	// doubles when it grows, the payload in base64 and the payload.
	jsonFactor = 5
	// patchFactor is that of a patch: an entry of a map, of 8 bytes, takes about 200.
	patchFactor = 30
)

// decodeBody calls decode with the body of a request, which may have up to limit bytes, and
// charges factor bytes for each byte of it meanwhile.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int, factor int64, decode func([]byte) error) error {
	return noRoomError(httpserver.DecodeBody(w, r, limit, func(n int) int64 { return factor * int64(n) }, func(b []byte) (int64, error) {
		// The result and the record of it stay.
		return 2 * int64(len(b)), decode(b)
	}))
}

// readJSON decodes a body of at most maxRequestBytes that holds one JSON value. It
// rejects unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	return decodeBody(w, r, maxRequestBytes, jsonFactor, func(b []byte) error {
		d := json.NewDecoder(bytes.NewReader(b))
		d.DisallowUnknownFields()
		if err := d.Decode(v); err != nil {
			return fault.Newf(fault.Invalid, "compare it with the operators' page", "malformed body: %v", err)
		}
		if _, err := d.Token(); !errors.Is(err, io.EOF) {
			return fault.New(fault.Invalid, "data follows the body", "send one JSON object")
		}
		return nil
	})
}

// writeJSON writes v as a JSON response with the given status code.
func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// errorResponse is the body of every response that reports an error.
type errorResponse struct {
	Error *fault.Error `json:"error"`
	// Result is notRun when the request certainly had no effect, else unknown.
	Result job.Result `json:"result"`
}

// writeError writes an error response. Its result is notRun when err proves that
// nothing was done.
func writeError(w http.ResponseWriter, err error) {
	e := fault.As(err)
	res := errorResponse{Error: e, Result: job.Unknown}
	if fault.NothingDone(err) {
		res.Result = job.NotRun
	}
	writeJSON(w, httpStatus(e.Kind), res)
}

// httpStatus returns the HTTP status code for an error kind.
func httpStatus(k fault.Kind) int {
	switch k {
	case fault.Invalid, fault.Infeasible:
		return http.StatusBadRequest
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Conflict, fault.KeyReused, fault.Refused:
		return http.StatusConflict
	case fault.Overloaded:
		return http.StatusTooManyRequests
	case fault.Unavailable, fault.Draining, fault.Gap:
		return http.StatusServiceUnavailable
	case fault.Unknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}
