package main

import (
	"time"
)

// reclaimTime is the bound reclaim_ms, and finishTime the bound finish_s.
const (
	reclaimTime = 2900 * time.Millisecond
	finishTime  = 14 * time.Second
)

// playReclaim lets a large job of one tenant, whose subtasks last, take all idle capacity.
// Then another tenant submits a job of priority 0 within its guarantee. The rule is broken
// if that job has not begun all its subtasks in time.
func playReclaim(d *deployment, trouble bool) (bool, error) {
	const large, small = "00000000000000b1", "00000000000000b2"
	all := len(d.workers) * gpuPerHost
	if trouble {
		d.rec.printf("DISRUPTION burst of large jobs: %d subtasks that last", all)
		if _, err := d.submit(d.hosts[0], "batch", large, "key-b",
			[]map[string]any{{"count": all, "cpu": 5600, "mem_mb": 23_000, "gpu": 1, "est_ms": 9500, "persistent": true}},
			[]stepInfo{{count: all, gpu: 1}}); err != nil {
			return false, err
		}
		if err := await(10*time.Second, "the large job runs", func() bool { return d.live(large) == all }); err != nil {
			return false, err
		}
	}
	// The starts of the large job are a disturbance of the traffic. They are over by now.
	time.Sleep(5 * time.Second)
	accepted, err := d.submit(d.hosts[1], "urgent", small, "key-a",
		[]map[string]any{{"count": 4, "cpu": 7500, "mem_mb": 39_000, "gpu": 2, "est_ms": 2500, "gang": true}},
		[]stepInfo{{count: 4, gpu: 2, gang: true, duration: 2500 * time.Millisecond}})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(accepted.Add(reclaimTime)))
	begun := len(d.runsOf(small))
	d.rec.printf("%v after the confirmation %d of 4 subtasks have begun", reclaimTime, begun)
	time.Sleep(40 * time.Second)
	d.rec.printf("%v after the confirmation %d of 4 subtasks have begun", time.Since(accepted).Round(time.Second), len(d.runsOf(small)))
	if begun < 4 {
		d.rec.printf("BROKEN RECLAIM: job %s of a tenant with a guarantee of 16 needs 8 accelerators and has not begun", small)
	}
	return begun < 4, nil
}

// playGang lets a job whose subtasks last occupy three workers of each rack of eight. Then a
// large gang is submitted that is to run on one rack. It fits on any rack that is empty and
// on the idle workers of two racks, but on no rack now. The rule is broken if it never
// starts.
func playGang(d *deployment, trouble bool) (bool, error) {
	const lasting, gang = "00000000000000c1", "00000000000000c2"
	var steps []map[string]any
	var info []stepInfo
	for _, rack := range []string{"r1-0", "r1-1", "r1-2"} {
		steps = append(steps, map[string]any{
			"count": 3, "cpu": 26_000, "mem_mb": 75_000, "gpu": 8, "est_ms": 11_000, "persistent": true, "data_rack": rack,
		})
		info = append(info, stepInfo{count: 3, gpu: 8})
	}
	if _, err := d.submit(d.hosts[0], "plan", lasting, "key-b", steps, info); err != nil {
		return false, err
	}
	if err := await(10*time.Second, "the lasting job runs", func() bool { return d.live(lasting) == 9 }); err != nil {
		return false, err
	}
	size := 5
	if trouble {
		size = 6
		d.rec.printf("DISRUPTION burst of large jobs: a gang of %d whole workers", size)
	}
	accepted, err := d.submit(d.hosts[1], "plan", gang, "key-b",
		[]map[string]any{{"count": size, "cpu": 26_000, "mem_mb": 75_000, "gpu": 8, "est_ms": 2000, "gang": true, "colocated": true}},
		[]stepInfo{{count: size, gpu: 8, gang: true, duration: 2 * time.Second}})
	if err != nil {
		return false, err
	}
	// The traffic has ended. Three times finishTime leave room for any back-off.
	time.Sleep(time.Until(accepted.Add(3 * finishTime)))
	started := len(d.runsOf(gang))
	d.rec.printf("%v after the confirmation %d of %d members have started; 15 of 24 workers are idle", 3*finishTime, started, size)
	if started == 0 {
		d.rec.printf("BROKEN LOST: job %s has nothing running although its turn has come", gang)
	}
	return started == 0, nil
}
