package standin

import "sync"

// Checkpoints plays the platform's store of saved progress. Workers that share
// one resume each other's tasks. The zero value is empty and ready to use.
type Checkpoints struct {
	mu sync.Mutex
	// saved is the run time per job, in milliseconds.
	progress map[string]int64
}

// Save keeps the progress of a job, in milliseconds of run time. The members of
// a gang save the same progress, so the largest counts.
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

// clear drops everything.
func (c *Checkpoints) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = nil
}
