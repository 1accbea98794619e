package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// maxInline is the largest answer within a JSON response, in bytes.
const maxInlineAnswer = upstream.MaxInline

// answerPatience is how long a question for an answer waits for the job's end,
// in milliseconds. It covers the time in which a record reaches all hosts.
const answerWaitMS = 1000

// handleAnswer serves GET /v1/jobs/{id}/answers/{member}: the whole output of
// one member. Its length is announced, so that a cut answer cannot be taken
// for a whole one, and its SHA-256 is in the header Limpetrelay-Sum.
func (h *Host) handleAnswer(w http.ResponseWriter, r *http.Request) {
	a, err := h.findAnswer(r)
	if err != nil {
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

// stream writes an answer part by part. On an error it stops short of the
// announced length, which the caller's HTTP library reports.
func (h *Host) streamAnswer(ctx context.Context, w http.ResponseWriter, a job.Answer, part []byte) {
	for at := int64(0); at < a.Size; {
		if len(part) == 0 {
			var err error
			if part, err = h.readPart(ctx, a, at); err != nil || len(part) == 0 {
				h.Logger.Warn("an answer was cut", "task", a.Task)
				panic(http.ErrAbortHandler)
			}
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		at += int64(len(part))
		part = nil
	}
}

// findAnswer returns where the answer that r asks for is kept.
func (h *Host) findAnswer(r *http.Request) (job.Answer, error) {
	id := r.PathValue("id")
	n, err := strconv.Atoi(r.PathValue("member"))
	if err != nil || n < 0 {
		return job.Answer{}, fault.Newf(fault.Invalid, "count members from 0", "%.20q is not a member", r.PathValue("member"))
	}
	// The end may have been told at another host a moment ago.
	if _, err := h.Call(r.Context(), func(waiter string) dispatch.Event {
		return dispatch.Event{Wait: &dispatch.Wait{Waiter: waiter, Job: id, Wait: answerWaitMS}}
	}); err != nil {
		return job.Answer{}, err
	}
	var a job.Answer
	found := fault.Newf(fault.NotFound, "check the job ID; ended jobs are kept for a day", "there is no job %q", id)
	if !h.inspect(r.Context(), func(s *dispatch.State) {
		if j := s.Ledger.Jobs[id]; j != nil {
			a, found = memberAnswer(j, n)
		}
	}) {
		return a, hostEndedError()
	}
	return a, found
}

// answerOf returns the answer of member n of j.
func memberAnswer(j *ledger.Job, n int) (job.Answer, error) {
	switch {
	case j.State != ledger.Finished:
		return job.Answer{}, fault.Newf(fault.Conflict, "wait for its end", "job %s is %s", j.ID, j.State)
	case j.Outcome.Result != job.Completed:
		return job.Answer{}, fault.Newf(fault.Conflict, "see its reason", "job %s is %s and has no answer", j.ID, j.Outcome.Result)
	case n >= len(j.Outcome.Answers):
		return job.Answer{}, fault.Newf(fault.NotFound, "count members from 0", "job %s has %d members", j.ID, len(j.Outcome.Answers))
	}
	return j.Outcome.Answers[n], nil
}

// fetchWhole returns a whole answer, checked against its sum.
func (h *Host) fetchAnswer(ctx context.Context, a job.Answer) ([]byte, error) {
	var b []byte
	for int64(len(b)) < a.Size {
		p, err := h.readPart(ctx, a, int64(len(b)))
		if err != nil {
			return nil, err
		}
		if len(p) == 0 {
			return nil, fault.New(fault.Unknown, "the answer is cut", "ask for it again")
		}
		b = append(b, p...)
	}
	if sum := sha256.Sum256(b); hex.EncodeToString(sum[:]) != a.Sum {
		return nil, fault.New(fault.Internal, "the answer does not match its sum", "ask for it again")
	}
	return b, nil
}

// part returns the part of an answer at the given offset.
func (h *Host) readPart(ctx context.Context, a job.Answer, at int64) ([]byte, error) {
	if a.Size == 0 {
		return nil, nil
	}
	address := ""
	if !h.inspect(ctx, func(s *dispatch.State) { address = s.WorkerAddress(a.Worker) }) {
		return nil, hostEndedError()
	}
	if address == "" {
		return nil, fault.Newf(fault.Unavailable, "run the job again if it is repeatable",
			"worker %s, which keeps the answer, is gone", a.Worker)
	}
	p, err := h.Worker(address).Output(ctx, upstream.OutputRequest{Task: a.Task, Offset: at})
	if err != nil {
		return nil, err
	}
	if p.Size != a.Size {
		return nil, fault.New(fault.Internal, "the answer's length has changed", "run the job again if it is repeatable")
	}
	return p.Data, nil
}
