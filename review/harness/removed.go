package main

import (
	"time"
)

// playRemoved lets a worker drain while a subtask runs there that takes longer. Just before
// the worker leaves, the coordinator's machine is removed for good, and a new one comes at
// another address. The rule is broken if the job has nothing running finishTime after that
// and for idleTime more, although nearly all workers are idle.
func playRemoved(d *deployment, trouble bool) (bool, error) {
	const id = "0000000000000091"
	const idleTime = 3 * time.Second
	if _, err := d.submit(d.hosts[0], "batch", id, "key-b",
		[]map[string]any{{"count": 1, "cpu": 5600, "mem_mb": 23_000, "gpu": 1, "est_ms": 9500}},
		[]stepInfo{{count: 1, gpu: 1, duration: 12 * time.Second}}); err != nil {
		return false, err
	}
	if err := await(5*time.Second, "the subtask runs", func() bool { return d.live(id) == 1 }); err != nil {
		return false, err
	}
	if trouble {
		if err := d.removeLeaderAndWorker(d.runsOf(id)[0].w); err != nil {
			return false, err
		}
	}
	removedAt := time.Now()
	time.Sleep(finishTime)
	idle := trouble
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		idle = idle && d.live(id) == 0
	}
	d.rec.printf("%v after the removal: nothing has run for %v: %t", finishTime+idleTime, idleTime, idle)
	if idle {
		d.rec.printf("BROKEN LOST: job %s has nothing running although its turn has come and the other workers are idle", id)
	}
	err := await(15*time.Second, "the job runs again", func() bool { return len(d.runsOf(id)) > 1 })
	d.rec.printf("%v after the removal: the job runs again: %t", time.Since(removedAt).Round(100*time.Millisecond), err == nil)
	return idle, nil
}

// removeLeaderAndWorker drains a worker and removes the coordinator's machine right before
// the worker leaves. A new machine comes two seconds later.
func (d *deployment) removeLeaderAndWorker(w *worker) error {
	leader := d.currentLeader()
	removed := make(chan error, 1)
	time.AfterFunc(drainTime+time.Second-200*time.Millisecond, func() {
		d.rec.printf("DISRUPTION replace_core leader: host %s is removed", leader.name)
		removed <- leader.cmd.Process.Kill()
	})
	if err := d.takeAway(w); err != nil {
		return err
	}
	d.mu.Lock()
	for _, r := range w.sortedRuns() {
		w.end(r, "lost")
	}
	d.mu.Unlock()
	if err := <-removed; err != nil {
		return err
	}
	time.AfterFunc(2*time.Second, func() {
		if err := d.addSpare(); err != nil {
			d.rec.printf("the new host does not start: %v", err)
		}
	})
	return nil
}
