package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/host/httpserver"
	"github.com/limpetrelay/limpetrelay/job"
)

const (
	// DefaultMemory is the default of Settings.Memory. A placer of 870 workers takes 221 MB
	// without clients.
	DefaultMemory = 512 << 20
	// peerShare is the share of the client budget for the other hosts of the data centre: 8
	// of them poll with small messages, and rarely fetch a snapshot.
	peerShare = 1.0 / 4
	// crowdedWait bounds how long a request waits while others take most of the budget.
	crowdedWait = time.Second
	// answerFactor is the memory of an answer that a response includes: what the worker sent,
	// its copy, base64 and JSON.
	answerFactor = 5
)

// newClientBudget returns the budget of the host's clients, with the parts of the callers and
// of the other hosts.
func (h *Host) newClientBudget() (b *httpserver.Budget, callers, peers *httpserver.Pool) {
	memory, descriptors := h.Memory, h.MaxDescriptors
	if memory == 0 {
		memory = DefaultMemory
	}
	if descriptors == 0 {
		descriptors = openFileLimit()
	}
	b = httpserver.NewBudget(memory, descriptors)
	b.Limits = func() httpserver.Limits { return h.ClientLimits }
	b.Report = httpserver.Reporter(h.Logger, &h.Metrics)
	callers, peers = b.NewPool("callers", 1-peerShare), b.NewPool("peers", peerShare)
	callers.Refusal = refusal
	return b, callers, peers
}

// openFileLimit returns the limit of the process's open descriptors, or 0 if there is none.
func openFileLimit() int64 {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return 0
	}
	return int64(l.Cur)
}

// refusal returns the response to a caller whose request is refused before it is handled.
func refusal(why httpserver.Reason) []byte {
	e := &fault.Error{Kind: fault.Unavailable, Message: "nothing was done: this host has no room for the request", Remedy: "use another host, or send it again later"}
	switch why {
	case httpserver.HeaderTooLarge:
		e = &fault.Error{Kind: fault.TooLarge, Message: "nothing was done: the header is too large", Remedy: "send a smaller one"}
	case httpserver.HeaderTimedOut, httpserver.BodyTimedOut:
		e = &fault.Error{Kind: fault.Unavailable, Message: "nothing was done: the request did not arrive in time", Remedy: "send it again"}
	}
	// A value of this type can always be encoded.
	b, _ := json.Marshal(errorResponse{Error: e, Result: job.NotRun})
	return b
}

// noRoomError returns err, or the error with which a caller tries another host if err says that
// the budget is exhausted.
func noRoomError(err error) error {
	if fault.KindOf(err) != fault.Overloaded {
		return err
	}
	return fault.Newf(fault.Unavailable, "use another host, or send the request again later", "nothing was done: %s", fault.As(err).Message)
}

// limitWait returns how long a request may wait, in milliseconds, if it asks for ms.
func limitWait(ctx context.Context, ms int64) int64 {
	if httpserver.Crowded(ctx) {
		return min(ms, crowdedWait.Milliseconds())
	}
	return ms
}

// writeReport writes the JSON that encode writes. Since a report takes memory in proportion to
// the state, reports are encoded one at a time, and refused if the budget has no room for them.
func (h *Host) writeReport(w http.ResponseWriter, r *http.Request, encode func(io.Writer) error) {
	var b bytes.Buffer
	h.reportMu.Lock()
	err := encode(&b)
	h.reportMu.Unlock()
	if err == nil {
		err = noRoomError(httpserver.Reserve(r.Context(), int64(b.Cap())))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone.
	_, _ = b.WriteTo(w)
}

// encodeState returns a function for writeReport that calls copyState with the state machine
// and then encodes v.
func (h *Host) encodeState(ctx context.Context, v any, copyState func(*dispatch.State)) func(io.Writer) error {
	return func(w io.Writer) error {
		if !h.inspect(ctx, copyState) {
			return hostEndedError()
		}
		return json.NewEncoder(w).Encode(v)
	}
}
