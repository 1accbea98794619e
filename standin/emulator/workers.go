package emulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
	"github.com/limpetrelay/limpetrelay/platform"
)

// holdStep is the time between two looks for an end while a hold waits.
const holdStep = 20 * time.Millisecond

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Payload    string `json:"spec"`
	Lease      int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	Seen       int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
}

type workerAnswer struct {
	Clock   int64   `json:"timestamp_ms"`
	Born    int64   `json:"born,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"finished,omitempty"`
}

// reasons are the words for refusals.
var reasons = map[placement.Verdict]string{
	placement.Fenced: "fence", placement.Superseded: "old", placement.LeaseExpired: "late", placement.NoCapacity: "room", placement.NoTicket: "ticket",
}

// WorkerHandler serves the worker with an ID of a yard.
func WorkerHandler(y *simulation.WorkerPool, id string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", func(w http.ResponseWriter, r *http.Request) {
		b, ok := readOrder(w, r, id)
		if !ok {
			return
		}
		n, err := platform.ParseTaskID(b.Task)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a, up := y.Start(id, &placement.Start{
			Task: n, Run: b.Run, Payload: b.Payload, Lease: b.Lease, Token: b.Token, Checkpoint: b.Checkpoint,
		})
		answer(w, up, a, workerAnswer{Clock: a.Clock})
	})
	mux.HandleFunc("POST /run-stop", func(w http.ResponseWriter, r *http.Request) {
		b, ok := readOrder(w, r, id)
		if !ok {
			return
		}
		n, err := platform.ParseTaskID(b.Task)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a, up := y.Stop(id, &placement.Stop{Task: n, Run: b.Run, Token: b.Token})
		answer(w, up, a, workerAnswer{Clock: a.Clock})
	})
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, r *http.Request) {
		b, ok := readOrder(w, r, id)
		if !ok {
			return
		}
		h := &placement.Poll{Token: b.Token, Lease: b.Lease, AckedEnd: b.Seen}
		until := time.Now().Add(time.Duration(b.Wait) * time.Millisecond)
		a, up := y.Hold(id, h)
		for up && a.Verdict == placement.Executed && len(a.Ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
			time.Sleep(holdStep)
			h.Lease = 0
			a, up = y.Hold(id, h)
		}
		out := workerAnswer{Clock: a.Clock, Born: a.Lifetime}
		for _, run := range a.Running {
			out.Running = append(out.Running, []any{platform.FormatTaskID(run.Task), run.Run, run.Checkpoint, run.Percent, 0})
		}
		for _, e := range a.Ended {
			out.Ended = append(out.Ended, []any{e.Number, platform.FormatTaskID(e.Task), e.Run, string(e.Outcome), e.Checkpoint})
		}
		answer(w, up, a.Reply, out)
	})
	return mux
}

// readOrder reads an order and refuses one that is meant for another worker.
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

// answer writes the answer to an order, or breaks the connection of a worker that
// is down.
func answer(w http.ResponseWriter, up bool, a placement.Reply, body workerAnswer) {
	if !up {
		panic(http.ErrAbortHandler)
	}
	if a.Verdict == placement.Executed {
		reply(w, http.StatusOK, body)
		return
	}
	body.Reason = reasons[a.Verdict]
	reply(w, http.StatusConflict, body)
}

// DirectoryEntry returns a worker's entry for the directory.
func DirectoryEntry(l *placement.Listing, sequence int) ([]byte, error) {
	state := "ready"
	if l.Draining {
		state = "draining"
	}
	return json.Marshal(map[string]any{
		"service": l.Service, "address": l.Address, "zone": "dc", "state": state, "labels": l.Labels, "born": l.Lifetime,
		"sequence": sequence, "free_capacity": map[string]int64{
			"cpu": l.Capacity.Cores, "mem_mb": l.Capacity.Memory, "gpu": l.Capacity.Accelerators,
		},
	})
}
