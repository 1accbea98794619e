package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/limpetrelay/limpetrelay/platform"
)

// The figures of the advisory service. A call about 30 workers takes half a second.
const (
	decisionTime   = 200 * time.Millisecond
	eachTime       = 10 * time.Millisecond
	ticketValidity = 3000 * time.Millisecond
)

// advise answers a query to the advisory service.
func (d *deployment) advise(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Workers) == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	d.adviceMu.Lock()
	defer d.adviceMu.Unlock()
	time.Sleep(decisionTime + time.Duration(len(q.Workers))*eachTime)
	good := [][]string{}
	d.mu.Lock()
	for _, id := range q.Workers {
		if d.permitted[id] {
			ticket := fmt.Sprintf("%s/%s/%d", id, q.Step, len(d.tickets))
			d.tickets[ticket] = time.Now().Add(ticketValidity)
			good = append(good, []string{id, ticket})
		}
	}
	d.mu.Unlock()
	d.rec.printf("advice: %s: %d workers from %s to %s, %d permitted", q.Step, len(q.Workers), q.Workers[0], q.Workers[len(q.Workers)-1], len(good))
	writeReply(rw, reply{http.StatusOK, map[string]any{"good": good, "validity_ms": ticketValidity.Milliseconds()}})
}

// playAdvice submits a job to a queue whose policy permits the first worker and the workers
// of the last rack. All workers are idle, but the first one has been emptied and taken away
// before. The rule is broken if the job never starts on one of the others.
func playAdvice(d *deployment, trouble bool) (bool, error) {
	const id = "00000000000000f1"
	first, last := d.workers[0], d.workers[len(d.workers)-1]
	d.mu.Lock()
	d.permitted = make(map[string]bool)
	for _, w := range d.workers {
		d.permitted[w.id] = w == first || w.rack == last.rack
	}
	d.mu.Unlock()
	if trouble {
		if err := d.takeAway(first); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	accepted, err := d.submit(d.hosts[0], "advised", id, "key-b",
		[]map[string]any{{"count": 1, "cpu": 5600, "mem_mb": 23_000, "gpu": 1, "est_ms": 2000}},
		[]stepInfo{{count: 1, gpu: 1, advised: true, duration: 2 * time.Second}})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(accepted.Add(3 * finishTime)))
	started := len(d.runsOf(id))
	d.rec.printf("%v after the confirmation %d runs have started; the permitted workers of rack %s are idle", 3*finishTime, started, last.rack)
	if started == 0 {
		d.rec.printf("BROKEN LOST: job %s has nothing running although its turn has come", id)
	}
	return started == 0, nil
}

// takeAway drains a worker and ends it.
func (d *deployment) takeAway(w *worker) error {
	d.mu.Lock()
	w.draining = true
	d.mu.Unlock()
	d.rec.printf("DISRUPTION scale_in: worker %s drains", w.id)
	d.publishEntries()
	time.Sleep(drainTime + time.Second)
	d.mu.Lock()
	w.gone = true
	d.mu.Unlock()
	d.rec.printf("DISRUPTION scale_in: worker %s has left", w.id)
	err := w.server.Close()
	d.store.Put(platform.TopicWorkers, w.id, nil)
	return err
}
