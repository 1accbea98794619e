package emulator

import (
	"cmp"
	"encoding/json"
	"net/http"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
	"github.com/limpetrelay/limpetrelay/platform"
)

// pollCheckInterval is the time between two checks for the end of a run while a poll
// waits.
const pollCheckInterval = 20 * time.Millisecond

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Payload    string `json:"spec"`
	Lease      int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	AckedEnd   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
}

type workerResponse struct {
	Clock    int64   `json:"timestamp_ms"`
	Lifetime int64   `json:"born,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Ended    [][]any `json:"finished,omitempty"`
}

// refusalReasons are the platform's names of the reasons for a refusal.
var refusalReasons = map[placement.Verdict]string{
	placement.Fenced: "fence", placement.Superseded: "old", placement.LeaseExpired: "late", placement.NoCapacity: "room", placement.NoTicket: "ticket",
}

// workerHandler returns the HTTP handler of the worker of pool with the given ID. name returns
// the ID under which the worker registers.
func workerHandler(pool *simulation.WorkerPool, id string, name func() string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", func(w http.ResponseWriter, r *http.Request) {
		b, ok := readOrder(w, r, name())
		if !ok {
			return
		}
		n, err := platform.ParseTaskID(b.Task)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a, up := pool.Start(id, &placement.Start{
			Task: n, Run: b.Run, Payload: b.Payload, Lease: b.Lease, Token: b.Token, Checkpoint: b.Checkpoint,
		})
		writeReply(w, up, a, workerResponse{Clock: a.Clock})
	})
	mux.HandleFunc("POST /run-stop", func(w http.ResponseWriter, r *http.Request) {
		b, ok := readOrder(w, r, name())
		if !ok {
			return
		}
		n, err := platform.ParseTaskID(b.Task)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a, up := pool.Stop(id, &placement.Stop{Task: n, Run: b.Run, Token: b.Token})
		writeReply(w, up, a, workerResponse{Clock: a.Clock})
	})
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, r *http.Request) {
		b, ok := readOrder(w, r, name())
		if !ok {
			return
		}
		poll := &placement.Poll{Token: b.Token, Lease: b.Lease, AckedEnd: b.AckedEnd}
		until := time.Now().Add(time.Duration(b.Wait) * time.Millisecond)
		a, up := pool.Poll(id, poll)
		lifetime := a.Lifetime
		for up && a.Verdict == placement.Executed && len(a.Ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
			time.Sleep(pollCheckInterval)
			poll.Lease = 0 // Only the first check renews the lease.
			// A poll ends with the process that it was sent to.
			if l, _ := pool.Listing(id); l.Lifetime != lifetime {
				up = false
				break
			}
			a, up = pool.Poll(id, poll)
		}
		out := workerResponse{Clock: a.Clock, Lifetime: a.Lifetime}
		for _, run := range a.Running {
			out.Running = append(out.Running, []any{platform.FormatTaskID(run.Task), run.Run, run.Checkpoint, run.Percent, 0})
		}
		for _, e := range a.Ended {
			out.Ended = append(out.Ended, []any{e.Number, platform.FormatTaskID(e.Task), e.Run, string(e.Outcome), e.Checkpoint})
		}
		writeReply(w, up, a.Reply, out)
	})
	return mux
}

// readOrder decodes an order. It responds with an error and returns false if the order
// is addressed to another worker or cannot be decoded.
func readOrder(w http.ResponseWriter, r *http.Request, id string) (orderBody, bool) {
	var b orderBody
	if t := r.Header.Get("Target-Instance"); t != "" && t != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return b, false
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	return b, true
}

// writeReply writes the answer to an order. If the worker is down, it aborts the
// connection instead.
func writeReply(w http.ResponseWriter, up bool, result placement.Reply, body workerResponse) {
	if !up {
		panic(http.ErrAbortHandler)
	}
	if result.Verdict == placement.Executed {
		writeJSON(w, http.StatusOK, body)
		return
	}
	body.Reason = refusalReasons[result.Verdict]
	writeJSON(w, http.StatusConflict, body)
}

// DirectoryEntry returns the encoded directory entry of a worker.
func DirectoryEntry(l *placement.Listing, sequence int) ([]byte, error) {
	state := "ready"
	if l.Draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": l.Service, "address": l.Address, "zone": cmp.Or(l.DataCentre, "dc"), "state": state, "labels": l.Labels, "born": l.Lifetime,
		"sequence": sequence, "free_capacity": map[string]int64{
			"cpu": l.Capacity.Cores, "mem_mb": l.Capacity.Memory, "gpu": l.Capacity.Accelerators,
		},
	}
	if l.ColdLeft > 0 {
		entry["cold_left_ms"] = l.ColdLeft
	}
	if l.Draining {
		entry["remaining_ms"] = l.Remaining
	}
	return json.Marshal(entry)
}
