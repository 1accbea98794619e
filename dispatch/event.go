package dispatch

import (
	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// Event is one input of the state machine. At most one pointer is set; an event
// with none only advances the time.
type Event struct {
	// Now is the driver's monotonic clock, in milliseconds. It never decreases.
	Now int64
	// Wall is the driver's wall clock, in Unix milliseconds.
	Wall int64

	Tail       *Tail
	Restored   *Restored
	Appended   *Appended
	Submit     *Submit
	Wait       *Wait
	Cancel     *Cancel
	Patch      *Patch
	Disconnect *Disconnect
	Heartbeat  *HeartbeatResult
	Member     *MemberResult
	Small      *SmallResult
	Hosts      *HostList
	Drain      *Drain
}

// Waiter returns the identifier under which a caller waits for the reply to e,
// or an empty string when e has no reply.
func (e *Event) Waiter() string {
	switch {
	case e.Submit != nil:
		return e.Submit.Waiter
	case e.Wait != nil:
		return e.Wait.Waiter
	case e.Cancel != nil:
		return e.Cancel.Waiter
	case e.Patch != nil:
		return e.Patch.Waiter
	default:
		return ""
	}
}

// Tail delivers log entries, read from the log itself or from a peer.
type Tail struct {
	Page logservice.Page
	// Err is set when the read failed.
	Err error
	// Peer is set when the read went to a peer, whether the peer answered or
	// not.
	Peer *PeerStatus
}

// PeerStatus is the state of a peer as the peer reports it.
type PeerStatus struct {
	Name string
	// OK is set when the peer answered, and ConnectionRefused when no process
	// listens at its address.
	OK                bool
	ConnectionRefused bool
	Placer            bool
	Leaving           bool
	Term              uint64
	// LogAge is the time since the peer last reached the log, in milliseconds.
	LogAge int64
}

// Restored delivers a newer ledger, read from a snapshot, that replaces the
// current one.
type Restored struct {
	Ledger *ledger.Ledger
}

// Appended is the result of an append.
type Appended struct {
	Err error
}

// Submit is a job that a caller submits.
type Submit struct {
	// Waiter identifies the caller in the Reply.
	Waiter string
	Spec   job.Spec
	// Wait is how long the caller waits for the end of the job, in
	// milliseconds; 0 requests the job's ID only.
	Wait int64
}

// Wait queries the state of a job.
type Wait struct {
	Waiter string
	// Job is the job's ID, or empty to look up Organisation and Key.
	Job          string
	Organisation string
	Key          string
	// Wait is how long the caller waits for the end of the job, in
	// milliseconds.
	Wait int64
}

// Cancel requests the end of a job.
type Cancel struct {
	Waiter string
	Job    string
	By     string
}

// Patch is an operator's configuration patch.
type Patch struct {
	Waiter string
	Patch  config.Patch
	// DryRun validates the patch without recording it.
	DryRun bool
}

// Disconnect reports that a caller has disconnected.
type Disconnect struct {
	Waiter string
}

// HeartbeatResult is the result of a Heartbeat effect.
type HeartbeatResult struct {
	Worker string
	// SentAt is when the heartbeat was sent, on the clock of Event.Now.
	SentAt int64
	// Renewed and Forgotten are the lists Renew and Forget of the heartbeat:
	// the tasks whose leases it renews, and the ended tasks that the worker may
	// forget.
	Renewed   []string
	Forgotten []string
	Report    upstream.Report
	Err       error
}

// MemberResult is the result of a Member effect.
type MemberResult struct {
	MemberCall
	Report upstream.TaskReport
	Err    error
}

// SmallResult is the result of a Small effect.
type SmallResult struct {
	Task   string
	Worker string
	// SentAt is when the call was sent, on the clock of Event.Now.
	SentAt int64
	Report upstream.RunReport
	Err    error
}

// HostList delivers the platform's list of hosts.
type HostList struct {
	Hosts []logservice.Host
	Err   error
}

// Drain starts the shutdown.
type Drain struct{}
