package dispatch

import (
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
)

const (
	// largestPayloadShare is the part of the memory that is left for payloads, as a divisor,
	// that one more job may take, so that large jobs leave room for others.
	largestPayloadShare = 8
	// largestOrganisationShare is the part of the jobs that other organisations leave, as a
	// divisor, that the jobs of one organisation may take.
	largestOrganisationShare = 2
)

// checkRoom returns an Overloaded error if there is no memory for one more job. All hosts hold
// all jobs; each decides by its own copy and what it is about to record.
func (s *State) checkRoom(spec *job.Spec) error {
	payload, own := s.Ledger.OpenPayloadBytes(), 0
	for i := range s.queue {
		payload += payloadBytes(&s.queue[i].record)
		if a := s.queue[i].record.Accept; a != nil && a.Spec.Organisation == spec.Organisation {
			own++
		}
	}
	if n := int64(len(spec.Payload)); n > 0 && s.MaxPayloadBytes > 0 && n > (s.MaxPayloadBytes-payload)/largestPayloadShare {
		return fault.New(fault.Overloaded, "nothing was done: the payloads of open jobs take all memory for them",
			"submit it again when some have ended, or with a smaller payload")
	}
	kept, all := s.Ledger.KeptJobs(spec.Organisation)
	if s.MaxJobs > 0 && kept+own >= (s.MaxJobs-(all-kept))/largestOrganisationShare {
		return fault.Newf(fault.Overloaded, "submit it again when some of them are older than a day",
			"nothing was done: organisation %s has %d open jobs and jobs that ended within a day", spec.Organisation, kept+own)
	}
	return nil
}
