package main

import (
	"time"
)

const (
	// greyTime is how long workers fail what they start, according to the site file.
	greyTime = 6500 * time.Millisecond
	// A subtask that lasts must run again this long after its last run, and the rule is
	// broken if then nothing runs for idleTime in calmTime without a disturbance.
	restartTime = 6 * time.Second
	idleTime    = 3 * time.Second
	calmTime    = 4 * time.Second
	// failGap is the time between two failures of subtasks on one worker.
	failGap = 100 * time.Millisecond
)

// playQuarantine runs two jobs with one lasting subtask on each worker. One worker fails all
// that it starts for a while, and its two subtasks fail. Long after that, each of them fails
// once more, as a subtask may at any time. The rule is broken if one of them is not run
// again in time, although its worker is sound and has capacity for many of them.
func playQuarantine(d *deployment, trouble bool) (bool, error) {
	ids := []string{"00000000000000d1", "00000000000000d2"}
	n := len(d.workers)
	for _, id := range ids {
		if _, err := d.submit(d.hosts[0], "plan", id, "key-b",
			[]map[string]any{{"count": n, "cpu": 5600, "mem_mb": 23_000, "gpu": 1, "est_ms": 2000, "persistent": true, "anti_affinity": 1}},
			[]stepInfo{{count: n, gpu: 1}}); err != nil {
			return false, err
		}
	}
	allRun := func() bool { return d.live(ids[0]) == n && d.live(ids[1]) == n }
	if err := await(10*time.Second, "both jobs run", allRun); err != nil {
		return false, err
	}
	w := d.workers[n/2]
	if trouble {
		d.setFailing(w, true)
		d.rec.printf("DISRUPTION srv_grey errors: worker %s fails all that it starts", w.id)
		d.failRuns(w)
		time.Sleep(greyTime)
		d.setFailing(w, false)
		d.rec.printf("DISRUPTION ends: worker %s is sound", w.id)
		if err := await(25*time.Second, "both jobs run again", allRun); err != nil {
			d.rec.printf("%v", err)
		}
	}
	// Long after the disruption.
	time.Sleep(restartTime + calmTime)
	d.rec.printf("subtasks fail once, as they may at any time")
	d.failRuns(w)
	failedAt := time.Now()
	time.Sleep(restartTime + idleTime)
	broken := false
	for _, id := range ids {
		if idle := n - d.live(id); idle > 0 {
			d.rec.printf("BROKEN LOST: %v after its last run %d subtask of job %s has no run", time.Since(failedAt).Round(time.Millisecond), idle, id)
			broken = true
		}
	}
	err := await(25*time.Second, "both jobs run again", allRun)
	d.rec.printf("both jobs run again after %v: %t", time.Since(failedAt).Round(100*time.Millisecond), err == nil)
	return broken, nil
}

func (d *deployment) setFailing(w *worker, failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.failing = failing
}

// failRuns lets the runs on a worker fail, one after the other.
func (d *deployment) failRuns(w *worker) {
	d.mu.Lock()
	rs := w.sortedRuns()
	d.mu.Unlock()
	for _, r := range rs {
		d.mu.Lock()
		w.end(r, "failed")
		d.mu.Unlock()
		time.Sleep(failGap)
	}
}
