package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// freezeTime is the longest freeze of a machine of the system that the site file names.
const freezeTime = 3500 * time.Millisecond

// playTwice freezes the coordinator when it has just sent start orders to a worker. Another
// host takes over and the job completes. Meanwhile the worker is cut off, crashes behind the
// cut and starts again under the same ID. The cut heals and the frozen host wakes. The rule
// is broken if a subtask whose end was taken note of starts again.
func playTwice(d *deployment, trouble bool) (bool, error) {
	const id, tasks = "00000000000000a1", 8
	giver := d.currentLeader()
	other := d.hosts[0]
	if other == giver {
		other = d.hosts[1]
	}
	frozen := make(chan error, 1)
	if trouble {
		var once sync.Once
		d.mu.Lock()
		d.onStart = func(task string) {
			if strings.HasPrefix(task, id) {
				once.Do(func() {
					frozen <- giver.pause()
					d.rec.printf("DISRUPTION node_freeze giver: host %s is frozen", giver.name)
				})
			}
		}
		d.mu.Unlock()
	}
	if _, err := d.submit(other, "plan", id, "key-b",
		[]map[string]any{{"count": tasks, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "est_ms": 300}},
		[]stepInfo{{count: tasks, gpu: 1, duration: 300 * time.Millisecond}}); err != nil {
		return false, err
	}
	var wakeAt time.Time
	if trouble {
		if err := <-frozen; err != nil {
			return false, err
		}
		wakeAt = time.Now().Add(freezeTime)
	}
	if err := await(freezeTime, "the job completes", func() bool {
		time.Sleep(50 * time.Millisecond)
		status, body := d.call(other, http.MethodGet, "plan", id, "key-b", nil)
		return status == http.StatusOK && body["state"] == "completed"
	}); err != nil {
		return false, err
	}
	first := d.runsOf(id)
	if trouble {
		d.crashBehindCut(first[0].w, wakeAt)
		d.rec.printf("DISRUPTION ends: host %s wakes", giver.name)
		if err := giver.resume(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	again := d.runsOf(id)[len(first):]
	for _, r := range again {
		d.rec.printf("BROKEN TWICE: %s run %d starts on %s with generation %d after it has ended done and the job was shown as completed",
			r.task, r.number, r.w.id, r.token)
	}
	return len(again) > 0, nil
}

// crashBehindCut cuts a worker off, restarts it behind the cut under the same ID, and heals
// the cut at the given time.
func (d *deployment) crashBehindCut(w *worker, healAt time.Time) {
	d.mu.Lock()
	w.cut = true
	d.mu.Unlock()
	d.rec.printf("DISRUPTION node_cut servers reborn: worker %s is cut off", w.id)
	time.Sleep(time.Until(healAt) / 2)
	d.mu.Lock()
	w.boot()
	d.mu.Unlock()
	time.Sleep(time.Until(healAt))
	d.mu.Lock()
	w.cut = false
	d.mu.Unlock()
	d.rec.printf("DISRUPTION ends: the cut of worker %s heals", w.id)
}
