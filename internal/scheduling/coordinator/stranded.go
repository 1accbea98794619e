package coordinator

import (
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
)

const (
	// maxIdleTime is how long a job that is not urgent may have nothing running while there
	// is room for twice what it would start, in milliseconds. Up to then, a request waits for
	// its rack, for that of its data, or for workers that are not reserved.
	maxIdleTime = 2000
	// maxReservedIdleTime is the same time if the reserved workers are expected to be in use
	// within reservationGrace, so that the wait is nearly over.
	maxReservedIdleTime = 2750
	reservationGrace    = 1000
	// maxRoomGap is how long there may be no room in between, in milliseconds. Work that is
	// placed takes up its capacity here before it takes it up on the workers.
	maxRoomGap = 1000
)

// roomSeen is the time in which there has been room for twice what a step would start: since
// and last are when it was seen first and last.
type roomSeen struct {
	since, last int64
}

// idleTooLong reports whether there has been room for maxIdleTime up to now. The zero value is of
// a step that does not wait.
func (s *State) idleTooLong(room roomSeen) bool {
	return room.since != 0 && s.now >= room.since+maxIdleTime && s.now <= room.last+maxRoomGap
}

// placeStranded places a request for which no place was found because it waits for a better one,
// if its job has had nothing running for maxIdleTime although there was room. Of a step
// that is not a gang, it places one task; the others can go on waiting.
func (s *State) placeStranded(r *request, pool *candidatePool, demand *placement.Request) {
	step := stepID(r.job, r.occurrence, r.step)
	if r.rank <= rankUrgent || len(r.attempts) > 0 {
		delete(r.room, step)
		return
	}
	if !s.hasRoomTwice(r, pool, demand) {
		return
	}
	room, ok := r.room[step]
	if !ok || s.now > room.last+maxRoomGap {
		room.since = s.now
	}
	room.last = s.now
	if r.room == nil {
		r.room = make(map[jobspec.TaskID]roomSeen)
	}
	r.room[step] = room
	limit := int64(maxIdleTime)
	if pool.reservationEndsSoon(r) {
		limit = maxReservedIdleTime
	}
	if s.now < room.since+limit {
		return
	}
	var places []int
	if demand.Step.Gang && demand.Step.SameRack {
		// A reserved rack is better than several.
		places = placement.PlaceInRack(pool.candidates, pool.racks, demand)
	}
	inRack := places != nil
	if !inRack && s.waitsForRack(r, pool) {
		return
	}
	if !inRack {
		places = placement.PlaceAnywhere(pool.candidates, startSize(demand))
	}
	s.log("placed with less locality", slog.String("id", r.id), slog.Int("step", r.step), slog.Int64("roomForMs", s.now-room.since),
		slog.Bool("gang", demand.Step.Gang), slog.Bool("sameRack", demand.Step.SameRack), slog.Bool("inRack", inRack), slog.String("dataRack", demand.Step.DataRack),
		slog.Bool("reserved", pool.excludesReserved(r)))
	s.commitPlacement(r, pool, r.indices[:len(places)], places, nil)
	delete(r.room, step)
}

// waitsForRack reports whether a gang goes on waiting for a rack rather than be spread over several,
// which takes RemoteFactor times as long: the service is busy, so that capacity does not lie idle for
// it, and the gang has waited for less than spreading it would cost.
func (s *State) waitsForRack(r *request, pool *candidatePool) bool {
	step := &r.spec.Steps[r.step]
	if !step.Gang || !step.SameRack || float64(s.age(r)) > (s.RemoteFactor-1)*float64(step.Estimate) {
		return false
	}
	var used, capacity jobspec.Resources
	for i := range pool.candidates {
		c := &pool.candidates[i]
		capacity = capacity.Add(c.Capacity)
		used = used.Add(c.Capacity.Sub(c.Free))
	}
	return float64(used.Cores) > busyShare*float64(capacity.Cores) && float64(used.Accelerators) > busyShare*float64(capacity.Accelerators)
}

// busyShare is the share of a service's cores and accelerators in use from which on it is busy. The
// operators require that nothing waits while less than half is in use.
const busyShare = 0.55

// startSize returns the part of a demand that starts together: a gang, or one task.
func startSize(demand *placement.Request) *placement.Request {
	if demand.Step.Gang {
		return demand
	}
	one := *demand
	one.Tasks = 1
	return &one
}

// hasRoomTwice reports whether the free capacity of all workers that r may use, reserved ones
// included, holds twice what starts together. It marks the candidates accordingly.
func (s *State) hasRoomTwice(r *request, pool *candidatePool, demand *placement.Request) bool {
	twice := s.demand(r, 2*startSize(demand).Tasks)
	if pool.refusedAnywhere(r, twice.Tasks) {
		return false
	}
	s.markCandidates(r, pool, true)
	if placement.Fits(pool.candidates, twice) {
		return true
	}
	pool.refuseAnywhere(r, twice.Tasks)
	return false
}
