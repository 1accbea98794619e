package dispatch

import (
	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// Event is one input of the reducer. At most one pointer is set; an event with
// none only moves the time.
type Event struct {
	// Now is the driver's monotonic clock, in milliseconds. It never goes back.
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

// Waiter returns the caller that waits for a reply to e, or nothing.
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

// Tail brings entries of the log, from the log itself or from a peer.
type Tail struct {
	Page logservice.Page
	// Err is set when the read failed.
	Err error
	// Peer is set when a peer answered, or was asked and failed.
	Peer *PeerStatus
}

// PeerStatus is what a peer said of itself.
type PeerStatus struct {
	Name string
	// OK is set when the peer answered, and ConnectionRefused when no process listens at
	// its address.
	OK                bool
	ConnectionRefused bool
	Placer            bool
	Leaving           bool
	Term              uint64
	// LogAge is in milliseconds.
	LogAge int64
}

// Restored replaces the ledger by a newer one from a snapshot.
type Restored struct {
	Ledger *ledger.Ledger
}

// Appended is the result of an append.
type Appended struct {
	Err error
}

// Submit is a caller's job.
type Submit struct {
	// Waiter identifies the reply.
	Waiter string
	Spec   job.Spec
	// Wait is how long the caller waits for the end, in milliseconds; 0 asks
	// for the job's ID only.
	Wait int64
}

// Wait asks for a job's state.
type Wait struct {
	Waiter string
	// Job is the job's ID, or empty to look up Organisation and Key.
	Job          string
	Organisation string
	Key          string
	// Wait is how long to wait for the end, in milliseconds.
	Wait int64
}

// Cancel asks for the end of a job.
type Cancel struct {
	Waiter string
	Job    string
	By     string
}

// Patch is an operator's patch.
type Patch struct {
	Waiter string
	Patch  config.Patch
	// DryRun only checks.
	DryRun bool
}

// Disconnect reports that a caller went away.
type Disconnect struct {
	Waiter string
}

// HeartbeatResult is the result of a Heartbeat effect.
type HeartbeatResult struct {
	Worker string
	// SentAt is when the heartbeat was sent, on the clock of Event.Now.
	SentAt int64
	// Renewed lists the tasks that the heartbeat renewed, and Forgotten those
	// that it asked the worker to forget.
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

// HostList brings the platform's list of hosts.
type HostList struct {
	Hosts []logservice.Host
	Err   error
}

// Drain starts the shutdown.
type Drain struct{}
