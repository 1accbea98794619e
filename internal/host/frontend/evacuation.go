package frontend

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"github.com/limpetrelay/limpetrelay/internal/host/hostconfig"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
)

// startOrderTime is the part of the evacuation timeout that is kept for the way of a start order to
// its worker, in milliseconds. An order waits for an answer for about 500 ms.
const startOrderTime = 1500

// evacuations is the host's copy of the operators' requests to evacuate data centres.
type evacuations struct {
	// active holds the data centres under evacuation, and offsets the offset of the last record of
	// each key that could be read. A record that is read again after a load must not replace a newer
	// one.
	active  map[string]bool
	offsets map[string]uint64
}

// names returns the data centres under evacuation, sorted.
func (v *evacuations) names() []string { return slices.Sorted(maps.Keys(v.active)) }

// set applies a record that could be read.
func (v *evacuations) set(e *keyedstore.Entry, dataCentre string, active bool) {
	if v.active == nil {
		v.active, v.offsets = make(map[string]bool), make(map[string]uint64)
	}
	if last, ok := v.offsets[e.Key]; ok && e.Offset < last {
		return
	}
	v.offsets[e.Key] = e.Offset
	if active {
		v.active[dataCentre] = true
	} else {
		delete(v.active, dataCentre)
	}
}

// applyOperatorRecord applies a record of the operators.
func (h *Host) applyOperatorRecord(e keyedstore.Entry) {
	if !h.isEvacuation(e.Key) {
		h.applyConfiguration(e)
		return
	}
	dataCentre, active, err := h.decodeEvacuation(&e)
	if err != nil {
		return
	}
	h.mu.Lock()
	old := h.evacuations.names()
	h.evacuations.set(&e, dataCentre, active)
	h.passEvacuations(old)
}

// replaceOperatorRecords applies the newest records of the operators. They replace the whole set of
// evacuations: one whose record is gone has been withdrawn. A record that cannot be read
// leaves what is in force for its data centre.
func (h *Host) replaceOperatorRecords(all []keyedstore.Entry) {
	var next evacuations
	var unreadable []string
	for i := range all {
		e := &all[i]
		if !h.isEvacuation(e.Key) {
			h.applyConfiguration(*e)
			continue
		}
		dataCentre, active, err := h.decodeEvacuation(e)
		if err != nil {
			unreadable = append(unreadable, dataCentre)
			continue
		}
		next.set(e, dataCentre, active)
	}
	h.mu.Lock()
	old := h.evacuations.names()
	for _, dataCentre := range unreadable {
		if key := h.Topics.EvacuationPrefix + dataCentre; h.evacuations.active[dataCentre] {
			next.set(&keyedstore.Entry{Offset: h.evacuations.offsets[key], Record: jobstate.Record{Key: key}}, dataCentre, true)
		}
	}
	h.evacuations = next
	h.passEvacuations(old)
}

// passEvacuations passes the set of evacuations to this host's coordinator, if there is one and the
// set differs from old. h.mu must be held; it is released.
func (h *Host) passEvacuations(old []string) {
	names := h.evacuations.names()
	post := h.postEvent
	h.mu.Unlock()
	if post != nil && !slices.Equal(old, names) {
		post(coordinator.Event{Evacuated: &coordinator.Evacuated{DataCentres: names}})
	}
}

// isEvacuation reports whether a key is that of a request to evacuate a data centre.
func (h *Host) isEvacuation(key string) bool {
	return h.DecodeEvacuation != nil && h.Topics.EvacuationPrefix != "" && strings.HasPrefix(key, h.Topics.EvacuationPrefix)
}

// decodeEvacuation decodes a request, and logs and counts one that cannot be read.
func (h *Host) decodeEvacuation(e *keyedstore.Entry) (dataCentre string, active bool, err error) {
	dataCentre, active, err = h.DecodeEvacuation(e.Key, e.Value)
	if err != nil {
		h.Metrics.Count("unreadableRecords", "", "evacuation", 1)
		h.Logger.Error("evacuation cannot be read", slog.String("key", shortKey(e.Key)), slog.Uint64("offset", e.Offset), errorAttr(err))
	}
	return dataCentre, active, err
}

// maxLoggedKey is the length up to which a key of another writer is logged, in bytes.
const maxLoggedKey = 255

func shortKey(key string) string { return key[:min(len(key), maxLoggedKey)] }

// maxOperatorAge returns how old the operators' records may be when start orders are sent, in
// milliseconds; 0 if there is no bound.
func maxOperatorAge(s *hostconfig.Settings) int64 {
	if s.EvacuationTimeout == 0 {
		return 0
	}
	return max(1, s.EvacuationTimeout-startOrderTime)
}

// passEvacuated puts a set of evacuations into the slot from which it is handled before all other
// events, in place of one that was not handled yet. Only the follower calls it.
func (l *leader) passEvacuated(e coordinator.Event) {
	select {
	case <-l.evacuated:
	default:
	}
	l.evacuated <- postedEvent{Event: e, at: l.now()}
}
