package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// freezeTime is how long a machine is frozen. The site file allows 3.5 s.
const freezeTime = 3400 * time.Millisecond

// playTwice freezes the coordinator when it has just sent start orders to two workers.
// Another host takes over and the job completes. Meanwhile the workers are cut off, crash
// behind the cut and start again under the same IDs. The cut heals and the frozen host wakes.
// The rule is broken if a subtask whose end was taken note of starts again.
func playTwice(d *deployment, trouble bool) (bool, error) {
	const id, tasks = "00000000000000a1", 2 * gpuPerHost
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
		d.crashBehindCut(first, wakeAt)
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

// crashBehindCut cuts the workers of some runs off, restarts them behind the cut under the
// same IDs, and heals the cut at the given time.
func (d *deployment) crashBehindCut(rs []*run, healAt time.Time) {
	workers := make(map[*worker]bool)
	for _, r := range rs {
		workers[r.w] = true
	}
	each := func(do func(*worker)) {
		d.mu.Lock()
		defer d.mu.Unlock()
		for w := range workers {
			do(w)
		}
	}
	each(func(w *worker) {
		w.cut = true
		d.rec.printf("DISRUPTION node_cut servers reborn: worker %s is cut off", w.id)
	})
	time.Sleep(time.Until(healAt) / 2)
	each(func(w *worker) { w.boot() })
	time.Sleep(time.Until(healAt))
	each(func(w *worker) {
		w.cut = false
		d.rec.printf("DISRUPTION ends: the cut of worker %s heals", w.id)
	})
}
