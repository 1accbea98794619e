package standin

import "sync"

// Checkpoints simulates the platform's checkpoint store. Workers that share one
// can resume each other's tasks. The zero value is empty and ready to use.
type Checkpoints struct {
	mu sync.Mutex
	// progress is the saved run time per job, in milliseconds.
	progress map[string]int64
}

// Save stores the progress of a job, in milliseconds of run time. All members of
// a gang save under the same job, so the largest value is kept.
func (c *Checkpoints) Save(job string, ms int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress == nil {
		c.progress = map[string]int64{}
	}
	c.progress[job] = max(c.progress[job], ms)
}

// Progress returns the saved progress of a job, in milliseconds.
func (c *Checkpoints) Progress(job string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress[job]
}

// clear deletes all saved progress.
func (c *Checkpoints) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = nil
}
