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

// maxHostListAge is the age of the list of hosts relayed by the placer above which a
// host reads the platform's list itself.
const maxHostListAge = 3 * time.Second

// hostList holds the newest list of the hosts of the data centre. The zero value
// is empty.
type hostList struct {
	mu    sync.Mutex
	hosts []logservice.Host
	// digest is the digest of hosts; 0 for none.
	digest uint64
	// readAt is when this host last read the list from the platform, and
	// placerFreshAt when the placer last sent a fresh list or confirmed this one.
	readAt, placerFreshAt time.Time
}

// hostListLoop keeps the list of hosts current until ctx ends. It does not read
// the platform's list while the placer relays a fresh one: the platform's list
// covers all data centres, and each host would transfer it whole.
func (h *Host) hostListLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !h.hosts.placerListIsFresh() {
			hosts, err := h.Directory.List(ctx)
			if err == nil {
				h.hosts.storeFromPlatform(hostsIn(hosts, h.DataCentre))
			}
			h.apply(ctx, dispatch.Event{Hosts: &dispatch.HostList{Hosts: hosts, Err: err}})
		}
		retry.Pause(ctx, listInterval)
	}
}

// applyPlacerHosts applies the list of hosts in a response of the placer, unless
// the list is stale or already known.
func (h *Host) applyPlacerHosts(ctx context.Context, r *peer.TailResponse) {
	if !r.Placer || r.ListAge < 0 || r.ListAge > maxHostListAge.Milliseconds() {
		return
	}
	if h.hosts.storeFromPlacer(r.ListDigest, r.Hosts) {
		h.apply(ctx, dispatch.Event{Hosts: &dispatch.HostList{Hosts: r.Hosts}})
	}
}

// hostsIn returns the hosts of a data centre.
func hostsIn(hosts []logservice.Host, dc string) []logservice.Host {
	var local []logservice.Host
	for _, h := range hosts {
		if h.DataCentre == dc {
			local = append(local, h)
		}
	}
	return local
}

// hostListDigest returns the digest of a list; 0 when it cannot be encoded.
func hostListDigest(hosts []logservice.Host) uint64 {
	b, err := wire.Encode(hosts)
	if err != nil {
		return 0
	}
	f := fnv.New64a()
	f.Write(b)
	return f.Sum64()
}

// storeFromPlatform stores a list that was read from the platform.
func (l *hostList) storeFromPlatform(hosts []logservice.Host) {
	d := hostListDigest(hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.digest, l.readAt = hosts, d, time.Now()
}

// storeFromPlacer stores a fresh list from the placer. hosts is empty when the
// list is the one already known. It reports whether the list is new.
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

// placerListIsFresh reports whether the placer sent or confirmed a fresh list
// within the last maxHostListAge.
func (l *hostList) placerListIsFresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.placerFreshAt.IsZero() && time.Since(l.placerFreshAt) < maxHostListAge
}

// currentDigest returns the digest of the newest list; 0 for none.
func (l *hostList) currentDigest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest
}

// changesSince returns the digest of the newest list, its hosts unless the given
// digest shows that the peer already has them, and the time since this host last
// read the list from the platform, in milliseconds. The time is -1, and the rest
// empty, when it never did.
func (l *hostList) changesSince(digest uint64) (newest uint64, hosts []logservice.Host, age int64) {
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
