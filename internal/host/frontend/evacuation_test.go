package frontend

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/host/hostconfig"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
	"github.com/limpetrelay/limpetrelay/internal/storage/keyedstore"
)

// evacuationHost returns a host, and the sets of evacuations that its coordinator is passed. The value
// "?" cannot be read.
func evacuationHost() (h *Host, passed *[][]string) {
	h = &Host{Logger: slog.New(slog.DiscardHandler)}
	h.Topics = Topics{ConfigurationKey: "config", EvacuationPrefix: "e/"}
	h.DecodeEvacuation = func(key string, value []byte) (string, bool, error) {
		if string(value) == "?" {
			return key[2:], false, errors.New("odd")
		}
		return key[2:], len(value) > 0, nil
	}
	h.Monotonic = func() int64 { return 100_000 }
	h.init()
	passed = &[][]string{}
	h.postEvent = func(e coordinator.Event) { *passed = append(*passed, e.Evacuated.DataCentres) }
	return h, passed
}

func request(offset uint64, dataCentre, value string) keyedstore.Entry {
	return keyedstore.Entry{Offset: offset, Record: jobstate.Record{Key: "e/" + dataCentre, Value: []byte(value)}}
}

// Guards against a request withdrawn, or added, while the records were dropped unread, against an
// unreadable record that ends or begins an evacuation, and against records that are read again after
// a load and undo newer ones.
func TestLoadReplacesTheEvacuations(t *testing.T) {
	h, passed := evacuationHost()
	h.replaceOperatorRecords([]keyedstore.Entry{request(2, "b", "{}"), request(1, "a", "{}")})
	h.applyOperatorRecord(request(3, "a", "?"))
	h.applyOperatorRecord(request(4, "c", "?"))
	h.applyOperatorRecord(request(5, "b", "{}"))
	h.replaceOperatorRecords([]keyedstore.Entry{request(3, "a", "?"), request(9, "d", "{}"), request(4, "c", "?"), request(8, "f", "")})
	h.applyOperatorRecord(request(7, "d", ""))
	h.applyOperatorRecord(request(6, "f", "{}"))
	h.applyOperatorRecord(request(10, "a", ""))
	h.replaceOperatorRecords(nil)
	assert.Equal(t, [][]string{{"a", "b"}, {"a", "d"}, {"d"}, nil}, *passed)
	assert.Equal(t, int64(4), h.Metrics.CounterValue("unreadableRecords", "", "evacuation"))
}

// Guards against a change that waits behind other events while OperatorAge already counts it, and
// against a set that is replaced before it was handled and then comes after the newer one.
func TestEvacuationsAreHandledFirst(t *testing.T) {
	h, _ := evacuationHost()
	l := &leader{Host: h, events: make(chan postedEvent, 2), recorded: make(chan postedEvent, 1), evacuated: make(chan postedEvent, 1)}
	l.post(t.Context(), coordinator.Event{PredecessorsGone: true})
	l.recorded <- postedEvent{Event: coordinator.Event{Recorded: &coordinator.Recorded{}}}
	l.passEvacuated(coordinator.Event{Evacuated: &coordinator.Evacuated{DataCentres: []string{"old"}}})
	l.passEvacuated(coordinator.Event{Evacuated: &coordinator.Evacuated{DataCentres: []string{"new"}}})
	tick := make(chan time.Time)
	e, _, _ := l.nextEvent(t.Context(), tick)
	require.NotNil(t, e.Evacuated)
	assert.Equal(t, []string{"new"}, e.Evacuated.DataCentres)
	e, _, _ = l.nextEvent(t.Context(), tick)
	assert.NotNil(t, e.Recorded)
}

// Guards against a role that is claimed with old records of the operators, on which the new coordinator
// could start nothing.
func TestRoleIsClaimedWithRecentOperatorRecords(t *testing.T) {
	for _, c := range []struct {
		timeout, age int64
		want         bool
	}{{0, 2900, true}, {5000, 2900, true}, {4000, 2600, false}, {4000, 2400, true}} {
		h, _ := evacuationHost()
		h.postEvent = nil
		h.Settings = hostconfig.Settings{EvacuationTimeout: c.timeout, CoreShare: 1}
		h.replaceJobs(nil)
		h.config.Store(&queueconfig.Configuration{})
		h.claimSeenAt = 0
		h.jobsVerifiedAt.Store(h.now())
		h.configVerifiedAt.Store(h.now() - c.age)
		_, _, ok := h.mayClaim()
		assert.Equal(t, c.want, ok, "%+v", c)
	}
}

// Guards against an evacuation that begins while the role is taken, and is neither in the set at the
// start of the term nor passed on.
func TestNoEvacuationIsMissedAtTheStartOfATerm(t *testing.T) {
	for range 200 {
		h, _ := evacuationHost()
		h.postEvent = nil
		l := &leader{Host: h, evacuated: make(chan postedEvent, 1)}
		done := make(chan struct{})
		go func() {
			h.applyOperatorRecord(request(1, "a", "{}"))
			close(done)
		}()
		l.begin(t.Context(), jobstate.Details{}, &jobstate.Claim{})
		<-done
		assert.True(t, len(l.state.Evacuated) == 1 || len(l.evacuated) == 1)
	}
}
