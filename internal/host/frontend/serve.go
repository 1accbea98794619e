package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

const (
	// defaultTimeout is the timeout of a request that does not state one.
	defaultTimeout = 3 * time.Second
	// responseMargin is subtracted from a caller's timeout for the network delay of the
	// response.
	responseMargin = 100 * time.Millisecond
	// retryAfter is the delay after which a caller may retry if the store could not be
	// reached: the balancer takes a host out of rotation after about two seconds.
	retryAfter = time.Second
	// maxJobDenialAge is the maximum age of the job table's last freshness check at which
	// a job may be reported as unknown, in milliseconds. Callers are promised that an
	// accepted job is known everywhere within three seconds.
	maxJobDenialAge = 2000
)

// Serve handles a request. Submissions and cancellations wait until the store confirms
// their record or the caller's timeout is near.
func (h *Host) Serve(ctx context.Context, req *Request) Response {
	began := h.now()
	resp, org, id := h.serve(ctx, req)
	resp.Close = resp.Close || h.draining.Load()
	h.Metrics.Observe("answerTime", org, string(req.Verb), h.now()-began)
	h.Metrics.Count("answers", string(req.Verb), string(resp.Outcome), 1)
	if req.Verb == Submit || resp.Outcome != StateReported && resp.Outcome != CountReported {
		h.Logger.Info("answered", slog.String("id", id[:min(len(id), maxLoggedID)]), slog.String("verb", string(req.Verb)), slog.String("outcome", string(resp.Outcome)),
			slog.String("why", resp.Message), slog.String("organisation", org), slog.Int64("tookMs", h.now()-began),
			slog.Uint64("version", h.version()), slog.Int64("configAgeMs", began-h.configVerifiedAt.Load()),
			slog.Int64("bookAgeMs", began-h.jobsVerifiedAt.Load()), slog.Duration("timeout", req.Timeout))
	}
	return resp
}

// version returns the version of the configuration in force, or 0.
func (h *Host) version() uint64 {
	if c := h.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// serve handles a request. It also returns the caller's organisation and the job's ID.
func (h *Host) serve(ctx context.Context, req *Request) (resp Response, org, id string) {
	// The log needs the job's ID, the last part of the path, even if no route matches.
	id = req.Path[strings.LastIndexByte(req.Path, '/')+1:]
	a, resp, ok := h.authorise(req)
	org = a.caller.Organisation
	switch {
	case !ok:
		return resp, org, id
	case a.id == "":
		return h.queueStatus(a.route), org, id
	}
	switch req.Verb {
	case Submit:
		return h.submit(ctx, req, &a), org, id
	case Cancel:
		return h.cancel(ctx, req, &a), org, id
	default:
		return h.jobStatus(ctx, req, &a), org, id
	}
}

// notExecuted returns the response to a request that had no effect.
func notExecuted(why string) Response {
	return Response{Outcome: NotExecuted, Message: why + "; nothing was done", RetryAfter: retryAfter}
}

// jobStatus answers a query for a job.
func (h *Host) jobStatus(ctx context.Context, req *Request, a *access) Response {
	l := h.findJob(a)
	if l.found && !l.State().Ended() {
		h.awaitEnd(ctx, statusWaitFor(req.Timeout), a.id)
		// Neither the configuration nor the job needs to be the one of before the wait.
		after, resp, ok := h.authorise(req)
		if !ok {
			return resp
		}
		a, l = &after, h.findJob(&after)
	}
	if !l.found {
		return h.denyJob(req, a, &l)
	}
	return Response{Outcome: StateReported, State: l.State()}
}

// queueStatus answers a query for the number of queued jobs of a queue.
func (h *Host) queueStatus(route *queueconfig.Route) Response {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.loaded || h.now()-h.jobsVerifiedAt.Load() > maxJobDenialAge {
		return notExecuted("this host's copy of the jobs may be out of date")
	}
	n := 0
	for _, j := range h.table.Jobs {
		if j.Spec != nil && j.Spec.Route == route.Name && j.State() == jobspec.Queued {
			n++
		}
	}
	return Response{Outcome: CountReported, Queued: n}
}

// decode reads and validates the job of a submission. ok is false if it must not be recorded; resp
// is then the response.
func (h *Host) decode(req *Request, maxBytes int) (s jobspec.Spec, resp Response, ok bool) {
	s, err := req.Decode(maxBytes)
	if err == nil {
		err = s.Validate()
	}
	if err == nil {
		return s, Response{}, true
	}
	switch fault.KindOf(err) {
	case fault.TooLarge:
		resp = Response{Outcome: TooLarge, Message: fault.As(err).Error()}
	case fault.Overloaded:
		resp = notExecuted(fault.As(err).Message)
		resp.Close = true
	default:
		resp = Response{Outcome: Malformed, Message: fault.As(err).Error()}
	}
	return s, resp, false
}

// submit validates a job and records its acceptance. A repeated submission of the same
// job succeeds without a new record.
func (h *Host) submit(ctx context.Context, req *Request, a *access) Response {
	s, resp, ok := h.decode(req, a.config.Limits.BodyBytes)
	if !ok {
		return resp
	}
	// The body may have taken longer to arrive than a change of the configuration may take to come
	// into force.
	after, resp, ok := h.authorise(req)
	if !ok {
		return resp
	}
	a = &after
	route := a.route
	s.ID, s.Route, s.Organisation, s.Service = a.id, route.Name, a.caller.Organisation, route.Service
	s.Priority, s.MaxAttempts, s.Stretch, s.Slack = route.Priority, route.MaxAttempts, route.Stretch, route.Slack
	s.AcceptedAt = h.Wall().UnixMilli()
	l := h.findJob(a)
	switch {
	case l.hidden:
		return h.denyID(req, a, &l)
	case l.found:
		return h.repeat(a, l.Spec, &s)
	}
	if resp, down := h.refuseIfStoreDown(); down {
		return resp
	}
	if l.fresh {
		// In an older copy the acceptance of the job by another host may be missing, and the refusal
		// would be untrue.
		if resp, refused := h.refuseIfTooLate(&s); refused {
			return resp
		}
	}
	rec, err := jobstate.AcceptedRecord(&s)
	if err != nil {
		return Response{Outcome: Malformed, Message: err.Error()}
	}
	if limit := h.MaxRecordBytes; limit > 0 && int64(rec.Size()) > limit {
		return Response{Outcome: TooLarge, Message: fmt.Sprintf("the job takes %d bytes in the store; send one of at most %d", rec.Size(), limit)}
	}
	if !h.admitJob(&s) {
		return notExecuted("the jobs that have not ended take all memory for jobs")
	}
	resp = h.recordAndWait(ctx, req, route.Timeout, rec)
	if resp.Outcome == NotExecuted {
		h.withdrawJob(s.ID)
	}
	return resp
}

// repeat answers a submission under the ID of an accepted job that the caller may use.
func (h *Host) repeat(a *access, accepted, s *jobspec.Spec) Response {
	same, err := accepted.SameRequest(s)
	if err != nil {
		return Response{Outcome: Malformed, Message: err.Error()}
	}
	if !same || !a.config.Repeats(a.caller, s.Route, accepted.Route, accepted.Organisation) {
		return idReused()
	}
	return Response{Outcome: Recorded, Message: "the job was already accepted"}
}

// cancel records the cancellation of a job. It succeeds without a record if the job has
// ended or is already cancelled.
func (h *Host) cancel(ctx context.Context, req *Request, a *access) Response {
	l := h.findJob(a)
	switch {
	case !l.found:
		return h.denyJob(req, a, &l)
	case l.Cancelled || l.State().Ended():
		return Response{Outcome: Recorded, Message: "the job has already ended"}
	}
	if resp, down := h.refuseIfStoreDown(); down {
		return resp
	}
	return h.recordAndWait(ctx, req, 0, jobstate.CancelledRecord(a.id))
}

// refuseIfStoreDown returns a refusal and true if the store is known not to answer.
func (h *Host) refuseIfStoreDown() (Response, bool) {
	if h.storeUnavailable() {
		return notExecuted("the store does not answer"), true
	}
	return Response{}, false
}

// recordAndWait appends a request's record and responds once its outcome is known or
// the time is up. limit bounds the caller's timeout, in milliseconds; 0 means no limit.
func (h *Host) recordAndWait(ctx context.Context, req *Request, limit int64, r jobstate.Record) Response {
	timeout := req.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if limit > 0 {
		timeout = min(timeout, time.Duration(limit)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, max(timeout-responseMargin, timeout/2))
	defer cancel()
	err := h.record(ctx, r)
	switch {
	case err == nil:
		return Response{Outcome: Recorded}
	case fault.NothingDone(err):
		return notExecuted(fault.As(err).Message)
	}
	return Response{Outcome: Indeterminate, Message: fault.As(err).Error(), RetryAfter: retryAfter}
}
