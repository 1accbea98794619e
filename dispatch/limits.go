package dispatch

import (
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
)

const (
	// largestPayloadShare is the part of the memory that is left for payloads, as a divisor,
	// that one more job may take, so that large jobs leave room for others.
	largestPayloadShare = 8
	// largestOrganisationShare is the part of what other organisations leave, as a divisor,
	// that the jobs or the payloads of one organisation may take.
	largestOrganisationShare = 2
)

// checkRoom returns an Overloaded error if there is no memory for one more job. All hosts hold
// all jobs; each decides by its own copy and the records that it has not read back.
func (s *State) checkRoom(spec *job.Spec) error {
	own, all := s.usage(spec.Organisation)
	othersPayload, othersJobs := all.PayloadBytes-own.PayloadBytes, all.Jobs-own.Jobs
	n := int64(len(spec.Payload))
	switch {
	case n == 0 || s.MaxPayloadBytes == 0:
	case n > (s.MaxPayloadBytes-all.PayloadBytes)/largestPayloadShare:
		return fault.New(fault.Overloaded, "nothing was done: the payloads of open jobs take all memory for them",
			"submit it again when some have ended, or with a smaller payload")
	case own.PayloadBytes+n > (s.MaxPayloadBytes-othersPayload)/largestOrganisationShare:
		return fault.Newf(fault.Overloaded, "submit it again when some have ended",
			"nothing was done: the open jobs of organisation %s have %d bytes of payloads", spec.Organisation, own.PayloadBytes)
	}
	if s.MaxJobs > 0 && own.Jobs >= (s.MaxJobs-othersJobs)/largestOrganisationShare {
		return fault.Newf(fault.Overloaded, "submit it again when some of them are older than a day",
			"nothing was done: organisation %s has %d open jobs and jobs that ended within a day", spec.Organisation, own.Jobs)
	}
	return nil
}

// usage returns what the jobs of an organisation take, and what all jobs take, with those that
// the ledger does not contain yet.
func (s *State) usage(org string) (own, all ledger.Usage) {
	own, all = s.Ledger.Usage(org)
	for _, items := range [][]outboxItem{s.appended, s.queue} {
		for i := range items {
			u, accept := ledger.Usage{PayloadBytes: items[i].payload}, items[i].record.Accept
			if accept != nil {
				u.Jobs = 1
			}
			all = all.Add(u)
			if accept != nil && accept.Spec.Organisation == org {
				own = own.Add(u)
			}
		}
	}
	return own, all
}
