package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// maxInlineAnswer is the largest answer that a JSON response includes, in bytes.
const maxInlineAnswer = upstream.MaxInlineOutput

// answerWaitMS is how long a request for an answer waits for the job to end. It
// covers the time that a record takes to reach all hosts.
const answerWaitMS = 1000

// handleAnswer serves GET /v1/jobs/{id}/answers/{member}: the whole output of
// one member. The response has a Content-Length, so that a caller detects a
// truncated answer, and the answer's SHA-256 in the header Limpetrelay-Sum.
func (h *Host) handleAnswer(w http.ResponseWriter, r *http.Request) {
	a, err := h.findAnswer(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if err := noRoomError(httpserver.Reserve(r.Context(), 2*min(a.Size, upstream.MaxOutputPart))); err != nil {
		writeError(w, err)
		return
	}
	first, err := h.readPart(r.Context(), a, 0)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(a.Size, 10))
	w.Header().Set("Limpetrelay-Sum", a.Sum)
	w.WriteHeader(http.StatusOK)
	h.streamAnswer(r.Context(), w, a, first)
}

// streamAnswer writes an answer in parts, of which part is the first. On an error
// it aborts the response before the announced Content-Length, which the caller's
// HTTP library reports as an error.
func (h *Host) streamAnswer(ctx context.Context, w http.ResponseWriter, a job.Answer, part []byte) {
	for offset := int64(0); offset < a.Size; {
		if len(part) == 0 {
			var err error
			if part, err = h.readPart(ctx, a, offset); err != nil || len(part) == 0 {
				h.Logger.Warn("an answer was cut", "task", a.Task)
				panic(http.ErrAbortHandler)
			}
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		offset += int64(len(part))
		part = nil
	}
}

// findAnswer returns the location, size and sum of the answer that r requests.
func (h *Host) findAnswer(r *http.Request) (job.Answer, error) {
	id := r.PathValue("id")
	n, err := strconv.Atoi(r.PathValue("member"))
	if err != nil || n < 0 {
		return job.Answer{}, fault.Newf(fault.Invalid, "count members from 0", "%.20q is not a member", r.PathValue("member"))
	}
	// Another host may have reported the end of the job to the caller before this
	// host has read the record of it.
	if _, err := h.Call(r.Context(), func(waiter string) dispatch.Event {
		return dispatch.Event{Wait: &dispatch.Wait{Waiter: waiter, Job: id, Wait: answerWaitMS}}
	}); err != nil {
		return job.Answer{}, err
	}
	var a job.Answer
	lookupErr := fault.Newf(fault.NotFound, "check the job ID; ended jobs are kept for a day", "there is no job %q", id)
	if !h.inspect(r.Context(), func(s *dispatch.State) {
		if j := s.Ledger.Jobs[id]; j != nil {
			a, lookupErr = memberAnswer(j, n)
		}
	}) {
		return a, hostEndedError()
	}
	return a, lookupErr
}

// memberAnswer returns the answer of member n of j.
func memberAnswer(j *ledger.Job, n int) (job.Answer, error) {
	switch {
	case j.State != ledger.Finished:
		return job.Answer{}, fault.Newf(fault.Conflict, "wait for the job to end", "job %s is %s", j.ID, j.State)
	case j.Outcome.Result != job.Completed:
		return job.Answer{}, fault.Newf(fault.Conflict, "see the reason in the job's outcome", "job %s is %s and has no answer", j.ID, j.Outcome.Result)
	case n >= len(j.Outcome.Answers):
		return job.Answer{}, fault.Newf(fault.NotFound, "count members from 0", "job %s has %d members", j.ID, len(j.Outcome.Answers))
	}
	return j.Outcome.Answers[n], nil
}

// fetchAnswer returns a whole answer after checking it against its SHA-256.
func (h *Host) fetchAnswer(ctx context.Context, a job.Answer) ([]byte, error) {
	var b []byte
	for int64(len(b)) < a.Size {
		p, err := h.readPart(ctx, a, int64(len(b)))
		if err != nil {
			return nil, err
		}
		if len(p) == 0 {
			return nil, fault.New(fault.Unknown, "the answer is truncated", "fetch the answer again")
		}
		b = append(b, p...)
	}
	if sum := sha256.Sum256(b); hex.EncodeToString(sum[:]) != a.Sum {
		return nil, fault.New(fault.Internal, "the answer does not match its SHA-256 sum", "fetch the answer again")
	}
	return b, nil
}

// readPart reads the part of an answer at the given offset from the worker that
// stores it.
func (h *Host) readPart(ctx context.Context, a job.Answer, offset int64) ([]byte, error) {
	if a.Size == 0 {
		return nil, nil
	}
	address := ""
	if !h.inspect(ctx, func(s *dispatch.State) { address = s.WorkerAddress(a.Worker) }) {
		return nil, hostEndedError()
	}
	if address == "" {
		return nil, fault.Newf(fault.Unavailable, "run the job again if it is repeatable",
			"worker %s, which stores the answer, is gone", a.Worker)
	}
	p, err := h.Worker(address).Output(ctx, upstream.OutputRequest{Task: a.Task, Offset: offset})
	if err != nil {
		return nil, err
	}
	if p.Size != a.Size {
		return nil, fault.New(fault.Internal, "the size of the answer has changed", "run the job again if it is repeatable")
	}
	return p.Data, nil
}
