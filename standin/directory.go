package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
)

// Directory simulates the platform's host list. The zero value is empty and has
// no lag.
type Directory struct {
	// Lag is the time from a change until List shows it.
	Lag time.Duration

	mu      sync.Mutex
	down    bool
	changes []change
}

// change is one addition, replacement or removal of a host.
type change struct {
	at      time.Time
	host    logservice.Host
	removed bool
}

// Set adds a host or replaces the one of the same name.
func (d *Directory) Set(h logservice.Host) { d.record(change{at: time.Now(), host: h}) }

// Remove removes the host called name from the list.
func (d *Directory) Remove(name string) {
	d.record(change{at: time.Now(), host: logservice.Host{Name: name}, removed: true})
}

// SetDown makes the list unavailable, or available again.
func (d *Directory) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// Service returns d as a logservice.Directory.
func (d *Directory) Service() logservice.Directory {
	return logservice.Directory{List: d.List}
}

// List returns the hosts as they were Lag ago, sorted by name. It fails with
// fault.Unavailable while the list is down.
func (d *Directory) List(context.Context) ([]logservice.Host, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, unavailableError()
	}
	visibleUntil := time.Now().Add(-d.Lag)
	byName := map[string]logservice.Host{}
	for _, c := range d.changes {
		if c.at.After(visibleUntil) {
			break
		}
		if c.removed {
			delete(byName, c.host.Name)
		} else {
			byName[c.host.Name] = c.host
		}
	}
	hosts := make([]logservice.Host, 0, len(byName))
	for _, h := range byName {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b logservice.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts, nil
}

// record appends a change.
func (d *Directory) record(c change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, c)
}
