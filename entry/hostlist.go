package entry

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/dispatch"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/peer"
	"github.com/limpetrelay/limpetrelay/retry"
	"github.com/limpetrelay/limpetrelay/wire"
)

// staleList is the age of the placer's list of hosts from which on a host reads
// the platform's list itself.
const maxHostListAge = 3 * time.Second

// hostList is the newest list of the hosts of the data centre. The zero value is
// empty.
type hostList struct {
	mu    sync.Mutex
	hosts []logservice.Host
	// digest is the sum of hosts; 0 for none.
	digest uint64
	// readAt is when the platform last gave the list to this host, and relayedAt
	// when the placer last said that its own is fresh.
	readAt, placerFreshAt time.Time
}

// listLoop follows the list of hosts. While the placer hands on a fresh list, the
// platform's is not read: it grows with all data centres, and every host would
// pay for it.
func (h *Host) hostListLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !h.hostList.placerIsFresh() {
			hosts, err := h.Directory.List(ctx)
			if err == nil {
				h.hostList.storeFromPlatform(hostsIn(hosts, h.DataCentre))
			}
			h.apply(ctx, dispatch.Event{Hosts: &dispatch.HostList{Hosts: hosts, Err: err}})
		}
		retry.Pause(ctx, listInterval)
	}
}

// listFromPlacer takes the list that came with the placer's answer.
func (h *Host) applyPlacerHosts(ctx context.Context, r *peer.TailResponse) {
	if !r.Placer || r.ListAge < 0 || r.ListAge > maxHostListAge.Milliseconds() {
		return
	}
	if h.hostList.storeFromPlacer(r.List, r.Hosts) {
		h.apply(ctx, dispatch.Event{Hosts: &dispatch.HostList{Hosts: r.Hosts}})
	}
}

// own returns the hosts of a data centre.
func hostsIn(hosts []logservice.Host, dc string) []logservice.Host {
	var mine []logservice.Host
	for _, h := range hosts {
		if h.DataCentre == dc {
			mine = append(mine, h)
		}
	}
	return mine
}

// digestOf returns the sum of a list.
func hostListDigest(hosts []logservice.Host) uint64 {
	b, err := wire.Encode(hosts)
	if err != nil {
		return 0
	}
	f := fnv.New64a()
	f.Write(b)
	return f.Sum64()
}

// read takes a list from the platform.
func (l *hostList) storeFromPlatform(hosts []logservice.Host) {
	d := hostListDigest(hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.digest, l.readAt = hosts, d, time.Now()
}

// relay takes a list from the placer, without hosts when it is the one already
// known. It reports whether the list is new.
func (l *hostList) storeFromPlacer(digest uint64, hosts []logservice.Host) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if digest == l.digest {
		l.placerFreshAt = time.Now()
		return false
	}
	if len(hosts) == 0 {
		return false
	}
	l.hosts, l.digest, l.placerFreshAt = hosts, digest, time.Now()
	return true
}

// relayed reports whether the placer has handed a fresh list on lately.
func (l *hostList) placerIsFresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.placerFreshAt.IsZero() && time.Since(l.placerFreshAt) < maxHostListAge
}

// sum returns the sum of the newest list; 0 for none.
func (l *hostList) currentDigest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// since returns what a peer with the list of the given sum needs, and the time
// since the platform was read, in milliseconds.
func (l *hostList) changesSince(digest uint64) (sum uint64, hosts []logservice.Host, age int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readAt.IsZero() {
		return 0, nil, -1
	}
	if digest != l.digest {
		hosts = l.hosts
	}
	return l.digest, hosts, time.Since(l.readAt).Milliseconds()
}
