package frontend

import (
	"strings"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// access is what one version of the configuration allows the sender of a request.
type access struct {
	config *queueconfig.Configuration
	// route matches the request, and id is the rest of its path: a well-formed job ID, or empty in a
	// query for the queue.
	route *queueconfig.Route
	id    string
	// caller is known unless route is public.
	caller queueconfig.Caller
	// current is set if config was verified recently enough to deny something because of it.
	current bool
}

// authorise checks a request against the configuration in force. ok is false if the request must not be
// handled; resp is then the response. What it returns holds for an instant only: a handler that has
// waited, for a job or for the caller, calls it again.
func (h *Host) authorise(req *Request) (a access, resp Response, ok bool) {
	// In this order, config is at least as new as age says, however long the process is suspended.
	verifiedAt := h.configVerifiedAt.Load()
	a.config = h.config.Load()
	age := h.now() - verifiedAt
	if a.config == nil || age > h.currentRevocationTimeout.Load()-revocationMargin {
		return a, notExecuted("the configuration may be out of date"), false
	}
	a.current = age <= maxConfigDenialAge
	if a.route = a.config.FindRoute(req.Host, req.Path); a.route == nil {
		if !a.current {
			return a, notExecuted("the queue is unknown here, but the configuration may be out of date"), false
		}
		return a, Response{Outcome: UnknownQueue, Message: "no queue matches this host and path"}, false
	}
	a.id = strings.TrimPrefix(req.Path, a.route.Prefix)
	a.caller = a.config.Caller(req.Key)
	if !a.caller.Known && !a.route.Public {
		if !a.current {
			return a, notExecuted("the key is unknown here, but the configuration may be out of date"), false
		}
		return a, Response{Outcome: UnknownKey, Message: "the key is unknown"}, false
	}
	if !req.ValidID(a.id) && (a.id != "" || req.Verb != Query) {
		return a, Response{Outcome: Malformed, Message: "a job's ID has 16 hexadecimal digits"}, false
	}
	return a, Response{}, true
}

// lookup is the result of findJob.
type lookup struct {
	// Job is set if found is.
	jobstate.Job
	// found is set if the job exists and the caller may use it, hidden if the caller may not.
	found, hidden bool
	// fresh is set if the job table is fresh enough to report a missing job as unknown.
	fresh bool
}

// findJob looks up the job that a request names.
func (h *Host) findJob(a *access) lookup {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := lookup{fresh: h.loaded && h.now()-h.jobsVerifiedAt.Load() <= maxJobDenialAge}
	j := h.table.Jobs[a.id]
	if j == nil || j.Spec == nil {
		return l
	}
	if !a.config.MayUse(a.caller, j.Spec.Route, j.Spec.Organisation) {
		l.hidden = true
		return l
	}
	l.Job, l.found = *j, true
	return l
}

// denyJob returns the response to a query or a cancellation whose job is missing or hidden. Both get
// the same, so that it tells nothing of the jobs of others.
func (h *Host) denyJob(req *Request, a *access, l *lookup) Response {
	if l.hidden {
		h.countHidden(req, a)
	}
	if !l.fresh || !a.current {
		return notExecuted("the job is unknown here, but this host's copies may be out of date")
	}
	return Response{Outcome: UnknownJob, Message: "there is no job with this ID that the caller may use"}
}

// denyID returns the response to a submission whose ID is that of a hidden job.
func (h *Host) denyID(req *Request, a *access, l *lookup) Response {
	h.countHidden(req, a)
	if !l.fresh || !a.current {
		return notExecuted("the ID cannot be checked, since this host's copies may be out of date")
	}
	return idReused()
}

// countHidden counts a request for a job that the caller may not use.
func (h *Host) countHidden(req *Request, a *access) {
	h.Metrics.Count("hiddenJobs", a.caller.Organisation, string(req.Verb), 1)
}

func idReused() Response {
	return Response{Outcome: IDReused, Message: "another job was accepted under this ID; use a new one"}
}
