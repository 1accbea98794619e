package entry

import (
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
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
)

const (
	// maxBody bounds a caller's request, in bytes.
	maxRequestBytes = 2*job.MaxPayload + 16<<10
	// maxWait bounds how long a caller may wait in one request.
	maxCallerWait = 10 * time.Minute
)

// submitRequest is the body of POST /v1/jobs.
type submitRequest struct {
	job.Spec
	// Wait is how long to wait for the end, in milliseconds.
	Wait int64 `json:"wait"`
}

// jobResponse answers requests about jobs.
type jobResponse struct {
	Job     string       `json:"job,omitempty"`
	State   ledger.State `json:"state,omitempty"`
	Outcome *job.Outcome `json:"outcome,omitempty"`
	Output  string       `json:"output,omitempty"`
	Error   *fault.Error `json:"error,omitempty"`
	Detail  *jobDetail   `json:"detail,omitempty"`
}

// ledgerDetail is the part of a job's record that operators see.
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

// patchResponse answers POST /v1/config/patches.
type patchResponse struct {
	Version uint64         `json:"version,omitempty"`
	Config  *config.Config `json:"config,omitempty"`
	Error   *fault.Error   `json:"error,omitempty"`
}

// historyResponse answers GET /v1/config/history.
type historyResponse struct {
	Versions []ledger.Version `json:"versions"`
}

// statusResponse answers GET /v1/status.
type statusResponse struct {
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	View
	Workers []workerStatus `json:"workers"`
	// Shortfall is what is missing of the unused guarantees.
	Shortfall     string             `json:"shortfall,omitempty"`
	Fragmentation map[string]float64 `json:"fragmentation"`
	// Attempts is empty unless the host is the placer.
	Attempts []dispatch.AttemptStatus `json:"attempts"`
}

// workerStatus is one line of statusResponse.
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
	rep, err := h.Call(r.Context(), func(id string) dispatch.Event {
		return dispatch.Event{Submit: &dispatch.Submit{Waiter: id, Spec: req.Spec, Wait: req.Wait}}
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

// wait answers a question about a job.
func (h *Host) waitForJob(w http.ResponseWriter, r *http.Request, q dispatch.Wait) {
	ms, err := parseWait(r)
	if err != nil {
		writeError(w, err)
		return
	}
	q.Wait = ms
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
	p, err := config.ParsePatch(r.Body)
	if err != nil {
		writeError(w, err)
		return
	}
	dry := r.URL.Query().Get("dryRun") == "true"
	rep, err := h.Call(r.Context(), func(id string) dispatch.Event {
		return dispatch.Event{Patch: &dispatch.Patch{Waiter: id, Patch: *p, DryRun: dry}}
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
	if !h.inspect(r.Context(), func(s *dispatch.State) { c = s.Ledger.Config.Clone() }) {
		writeError(w, hostEndedError())
		return
	}
	writeJSON(w, http.StatusOK, c)
}

// handleHistory serves GET /v1/config/history.
func (h *Host) handleHistory(w http.ResponseWriter, r *http.Request) {
	res := historyResponse{Versions: []ledger.Version{}}
	if !h.inspect(r.Context(), func(s *dispatch.State) { res.Versions = append(res.Versions, s.Ledger.History...) }) {
		writeError(w, hostEndedError())
		return
	}
	writeJSON(w, http.StatusOK, res)
}

// handleStatus serves GET /v1/status.
func (h *Host) handleStatus(w http.ResponseWriter, r *http.Request) {
	res := statusResponse{Host: h.Host(), DataCentre: h.DataCentre, Workers: []workerStatus{}}
	if !h.inspect(r.Context(), func(s *dispatch.State) { h.fillStatus(s, &res) }) {
		writeError(w, hostEndedError())
		return
	}
	res.View = h.View()
	writeJSON(w, http.StatusOK, res)
}

// fillStatus copies what GET /v1/status shows.
func (h *Host) fillStatus(s *dispatch.State, res *statusResponse) {
	for _, wk := range s.Ledger.ClonedWorkers(h.DataCentre) {
		res.Workers = append(res.Workers, workerStatus{
			Name: wk.Name, Rack: wk.Rack, State: string(wk.State), Slots: wk.Slots,
			UsedSlots: s.Ledger.Plan(h.DataCentre).AllocatedSlots(wk.Name).Count(),
		})
	}
	if short := s.Ledger.GuaranteeShortfall(h.DataCentre); !short.IsZero() {
		res.Shortfall = short.String()
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

// handleReady serves GET /readyz, which the balancer asks.
func (h *Host) handleReady(w http.ResponseWriter, _ *http.Request) {
	v := h.View()
	code := http.StatusOK
	if !v.Ready || v.Draining {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, v)
}

// handleMetrics serves GET /metrics.
func (h *Host) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	v := h.View()
	h.Metrics.Gauge("invariantsChecked", float64(v.InvariantsChecked))
	h.Metrics.Gauge("invariantsBroken", float64(v.InvariantsBroken))
	h.Metrics.Gauge("jobsQueued", float64(v.JobsQueued))
	h.Metrics.Gauge("jobsPlaced", float64(v.JobsPlaced))
	h.Metrics.Gauge("configVersion", float64(v.ConfigVersion))
	h.Metrics.Gauge("logAge", float64(v.LogAge))
	w.Header().Set("Content-Type", "application/json")
	h.Metrics.WriteJSON(w)
}

// writeReply answers a question about a job.
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

// inlineOutput returns the answer of a single small job in base64, or nothing
// when it is large or has to be fetched per member.
func (h *Host) inlineOutput(ctx context.Context, rep *dispatch.Reply) string {
	if rep.Output != nil {
		return base64.StdEncoding.EncodeToString(rep.Output)
	}
	if len(rep.Outcome.Answers) != 1 || rep.Outcome.Answers[0].Size > maxInlineAnswer {
		return ""
	}
	b, err := h.fetchAnswer(ctx, rep.Outcome.Answers[0])
	if err != nil {
		return ""
	}
	return base64.StdEncoding.EncodeToString(b)
}

// detail returns what operators see of a job.
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

// parseWait returns the wait of a query, in milliseconds.
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

// readJSON reads a body within its bound and refuses unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return fault.Newf(fault.TooLarge, "send less", "the body exceeds %d bytes", int64(maxRequestBytes))
		}
		return fault.Newf(fault.Invalid, "compare it with the operators' page", "malformed body: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.Invalid, "data follows the body", "send one JSON object")
	}
	return nil
}

// writeJSON writes a response.
func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// errorResponse is the body of every refusal.
type errorResponse struct {
	Error *fault.Error `json:"error"`
	// Result tells callers of jobs what became of the request.
	Result job.Result `json:"result"`
}

// writeError writes a refusal. The outcome is notRun when nothing was done.
func writeError(w http.ResponseWriter, err error) {
	e := fault.As(err)
	res := errorResponse{Error: e, Result: job.Unknown}
	if fault.NothingDone(err) {
		res.Result = job.NotRun
	}
	writeJSON(w, httpStatus(e.Kind), res)
}

// statusOf returns the HTTP status of a kind.
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
