package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// cutTime is how long workers are cut off. The site file allows 5.5 s.
	cutTime = 5400 * time.Millisecond
	// countDelay is visible_ms + 2 s. Jobs that are older and have not begun count as
	// pending.
	countDelay = 5 * time.Second
)

// playPending fills ten of twelve workers and then cuts the other two off. Jobs that are
// accepted now are placed on those two and cannot begin. The rule is broken if a host gives
// under half of them as pending.
func playPending(d *deployment, trouble bool) (bool, error) {
	const full, queued = "00000000000000e1", 8
	busy := len(d.workers) - 2
	if _, err := d.submit(d.hosts[0], "plan", full, "key-b",
		[]map[string]any{{"count": busy, "cpu": 26_000, "mem_mb": 75_000, "gpu": 8, "est_ms": 60_000}},
		[]stepInfo{{count: busy, gpu: 8, duration: time.Minute}}); err != nil {
		return false, err
	}
	if err := await(10*time.Second, "the first job runs", func() bool { return d.live(full) == busy }); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		d.cutIdle(true)
		time.AfterFunc(cutTime, func() { d.cutIdle(false) })
	}
	var last time.Time
	for i := range queued {
		at, err := d.submit(d.hosts[i%len(d.hosts)], "batch", jobID(i), "key-a",
			[]map[string]any{{"count": 1, "cpu": 5600, "mem_mb": 23_000, "gpu": 1, "est_ms": 9500}},
			[]stepInfo{{count: 1, gpu: 1, duration: 9500 * time.Millisecond}})
		if err != nil {
			return false, err
		}
		last = at
	}
	time.Sleep(time.Until(last.Add(countDelay)))
	broken := false
	for _, h := range d.hosts {
		before := d.notBegun(queued)
		status, body := d.call(h, http.MethodGet, "batch", "", "key-a", nil)
		after := d.notBegun(queued)
		waiting := min(before, after)
		pending, ok := body["pending"].(float64)
		if status != http.StatusOK || !ok {
			continue
		}
		d.rec.printf("host %s gives %v as pending; %d jobs have not begun", h.name, pending, waiting)
		if 2*int(pending) < waiting {
			d.rec.printf("BROKEN MIXED: that is under half")
			broken = true
		}
	}
	for i := range queued {
		d.call(d.hosts[0], http.MethodGet, "batch", jobID(i), "key-a", nil)
	}
	time.Sleep(5 * time.Second)
	d.rec.printf("at the end %d jobs have not begun", d.notBegun(queued))
	return broken, nil
}

func jobID(i int) string { return fmt.Sprintf("00000000000001%02x", i) }

// notBegun returns how many of the queued jobs have had no start.
func (d *deployment) notBegun(queued int) int {
	n := 0
	for i := range queued {
		if len(d.runsOf(jobID(i))) == 0 {
			n++
		}
	}
	return n
}

// cutIdle cuts the workers that run nothing, or heals the cut of all workers.
func (d *deployment) cutIdle(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.workers {
		if cut && len(w.runs) == 0 || !cut && w.cut {
			w.cut = cut
			d.rec.printf("DISRUPTION node_cut servers: worker %s is cut off: %t", w.id, cut)
		}
	}
}
