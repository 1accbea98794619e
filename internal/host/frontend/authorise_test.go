package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// accessHost is a host whose configuration, jobs and time a test sets, and that records every
// submission and cancellation at once.
type accessHost struct {
	*Host
	t   *testing.T
	now atomic.Int64
	// recorded counts the records.
	recorded atomic.Int64
	offset   uint64
}

func newAccessHost(t *testing.T) *accessHost {
	a := &accessHost{t: t}
	a.now.Store(100_000)
	a.Host = &Host{Logger: slog.New(slog.DiscardHandler), Dependencies: Dependencies{Monotonic: a.now.Load}}
	a.RevocationTimeout = 5000
	a.init()
	a.loaded = true
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-ctx.Done():
				return
			case it := <-a.writer.queue:
				a.recorded.Add(1)
				it.state.Store(itemSent)
				it.done <- nil
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return a
}

// setConfig puts a configuration in force that has the given queue, unless it is nil, and the queues
// open and closed. keyA is the organisation that has the key key-a; empty for none.
func (a *accessHost) setConfig(own *queueconfig.Route, keyA string) {
	d := queueconfig.Document{
		Version: a.version() + 1,
		Routes:  []queueconfig.Route{{Name: "open", Host: "q", Prefix: "/open/", Public: true}, {Name: "closed", Host: "q", Prefix: "/closed/"}},
		Organisations: []queueconfig.KeyedOrganisation{
			{Organisation: queueconfig.Organisation{Name: "crew"}, Keys: []string{"key-a2"}},
			{Organisation: queueconfig.Organisation{Name: "guild"}, Keys: []string{"key-c"}},
		},
	}
	if own != nil {
		d.Routes = append(d.Routes, *own)
	}
	for i := range d.Organisations {
		if o := &d.Organisations[i]; o.Name == keyA {
			o.Keys = append(o.Keys, "key-a")
		}
	}
	a.config.Store(d.Configuration())
	a.verify()
}

// verify makes the copies of the configuration and of the jobs current.
func (a *accessHost) verify() {
	a.configVerifiedAt.Store(a.now.Load())
	a.jobsVerifiedAt.Store(a.now.Load())
}

func testSpec() jobspec.Spec {
	return jobspec.Spec{Payload: "x", Steps: []jobspec.Step{{Tasks: 1}}}
}

// accept adds a job that a queue has accepted for an organisation.
func (a *accessHost) accept(id, queue, owner string) {
	a.t.Helper()
	s := testSpec()
	s.ID, s.Route, s.Organisation = id, queue, owner
	r, err := jobstate.AcceptedRecord(&s)
	require.NoError(a.t, err)
	applyRecords(a.t, a.Host, a.offset, r)
	a.offset++
}

// end adds the end of a job that accept has added.
func (a *accessHost) end(id, queue, owner string) {
	a.t.Helper()
	s := testSpec()
	s.ID, s.Route, s.Organisation = id, queue, owner
	rs, err := jobstate.EndedRecords(&s, &jobspec.Progress{State: jobspec.Completed})
	require.NoError(a.t, err)
	applyRecords(a.t, a.Host, a.offset, rs...)
	a.offset += uint64(len(rs))
}

// call makes a request. The body of a submission arrives once arrive, if it is set, has returned. A
// query waits for a millisecond.
func (a *accessHost) call(verb Verb, path, key string, arrive func()) Outcome {
	return a.Serve(context.Background(), &Request{
		Verb: verb, Host: "q", Path: path, Key: key, Timeout: 4 * time.Millisecond, ValidID: func(s string) bool { return len(s) == 16 },
		Decode: func(int) (jobspec.Spec, error) {
			if arrive != nil {
				arrive()
			}
			return testSpec(), nil
		},
	}).Outcome
}

// calls returns the outcomes of a query for a job, of the repetition of its submission and of its
// cancellation.
func (a *accessHost) calls(path, key string) [3]Outcome {
	return [3]Outcome{a.call(Query, path, key, nil), a.call(Submit, path, key, nil), a.call(Cancel, path, key, nil)}
}

const accessID = "00000000000000aa"

// The outcomes of a query, a repeated submission and a cancellation.
var (
	// ok is for callers who may use the job; use for those whose submission is of another job.
	ok  = [3]Outcome{StateReported, Recorded, Recorded}
	use = [3]Outcome{StateReported, IDReused, Recorded}
	// none is for callers to whom the job does not exist.
	none    = [3]Outcome{UnknownJob, IDReused, UnknownJob}
	noKey   = [3]Outcome{UnknownKey, UnknownKey, UnknownKey}
	noQueue = [3]Outcome{UnknownQueue, UnknownQueue, UnknownQueue}
	later   = [3]Outcome{NotExecuted, NotExecuted, NotExecuted}
)

// Guards against requests that are allowed or denied by the path they came by, instead of by what the
// queue of the job asks for: a public path gave every caller the private jobs, and those with the key
// of another organisation did not find the jobs of a public queue.
func TestJobAccess(t *testing.T) {
	const gone, unset = "key-gone", ""
	for _, c := range []struct {
		// own is the queue of the job as it is now: private, public or dropped.
		own, owner, key string
		// The outcomes by the path of the job's queue, of a public and of a private one.
		byOwn, byPublic, byPrivate [3]Outcome
	}{
		{"private", "crew", "key-a", ok, ok, ok},
		{"private", "crew", "key-a2", ok, ok, ok},
		{"private", "crew", "key-c", none, none, none},
		{"private", "crew", gone, noKey, none, noKey},
		{"private", "crew", unset, noKey, none, noKey},
		{"public", "crew", "key-a", ok, ok, ok},
		{"public", "crew", "key-c", ok, use, use},
		{"public", "crew", gone, ok, use, noKey},
		{"public", "crew", unset, ok, use, noKey},
		{"dropped", "crew", "key-a", noQueue, ok, ok},
		{"dropped", "crew", "key-c", noQueue, none, none},
		{"dropped", "crew", gone, noQueue, none, noKey},
		{"dropped", "crew", unset, noQueue, none, noKey},
		{"private", "", "key-a", ok, use, use},
		{"private", "", gone, noKey, none, noKey},
		{"private", "", unset, noKey, none, noKey},
		{"public", "", "key-a", ok, use, use},
		{"public", "", gone, ok, ok, noKey},
		{"public", "", unset, ok, ok, noKey},
		{"dropped", "", "key-a", noQueue, use, use},
		{"dropped", "", unset, noQueue, ok, noKey},
	} {
		t.Run(fmt.Sprintf("%s queue, job of %q, key %q", c.own, c.owner, c.key), func(t *testing.T) {
			a := newAccessHost(t)
			var own *queueconfig.Route
			if c.own != "dropped" {
				own = &queueconfig.Route{Name: "own", Host: "q", Prefix: "/own/", Public: c.own == "public"}
			}
			a.setConfig(own, "crew")
			a.accept(accessID, "own", c.owner)
			byPath := map[string][3]Outcome{"/own/": c.byOwn, "/open/": c.byPublic, "/closed/": c.byPrivate}
			for path, want := range byPath {
				a.checkCalls(path, c.key, want)
			}
			a.end(accessID, "own", c.owner)
			for path, want := range byPath {
				assert.Equal(t, want, a.calls(path+accessID, c.key), "%s, job has ended", path)
			}
		})
	}
}

// checkCalls checks the outcomes of calls about the job by a path with copies of three ages.
func (a *accessHost) checkCalls(path, key string, want [3]Outcome) {
	assert.Equal(a.t, want, a.calls(path+accessID, key), path)
	if want == none {
		assert.Equal(a.t, UnknownJob, a.call(Query, path+"00000000000000bb", key, nil), "a hidden job is answered like a missing one")
	}
	a.now.Add(maxConfigDenialAge + 1)
	if want == ok || want == use {
		assert.Equal(a.t, want[0], a.call(Query, path+accessID, key, nil), "%s, configuration of 2 s ago", path)
	} else {
		assert.Equal(a.t, later, a.calls(path+accessID, key), "%s, no denial by a configuration of 2 s ago", path)
	}
	a.now.Add(a.RevocationTimeout)
	assert.Equal(a.t, later, a.calls(path+accessID, key), "%s, nothing by a configuration of 7 s ago", path)
	a.verify()
}

var (
	privateQueue = &queueconfig.Route{Name: "own", Host: "q", Prefix: "/own/"}
	publicQueue  = &queueconfig.Route{Name: "own", Host: "q", Prefix: "/own/", Public: true}
	movedQueue   = &queueconfig.Route{Name: "own", Host: "q", Prefix: "/moved/"}
)

// accessChange is a change of the configuration between two calls about a job, or during one.
type accessChange struct {
	name          string
	before, after *queueconfig.Route
	owner, key    string
	// keyA is the organisation that has key-a afterwards.
	keyA, path string
	// want has the outcomes by path afterwards.
	want [3]Outcome
}

var accessChanges = []accessChange{
	{"key taken away", privateQueue, privateQueue, "crew", "key-a", "", "/own/", noKey},
	{"key taken away, public path", privateQueue, privateQueue, "crew", "key-a", "", "/open/", none},
	{"other key taken away", privateQueue, privateQueue, "crew", "key-a2", "", "/own/", ok},
	{"key moved", privateQueue, privateQueue, "crew", "key-a", "guild", "/own/", none},
	{"key moved, public queue", publicQueue, publicQueue, "crew", "key-a", "guild", "/own/", ok},
	{"queue turned private", publicQueue, privateQueue, "crew", "", "crew", "/own/", noKey},
	{"queue turned private, public path", publicQueue, privateQueue, "", "", "crew", "/open/", none},
	{"queue turned private, own key", publicQueue, privateQueue, "crew", "key-a", "crew", "/own/", ok},
	{"queue turned public", privateQueue, publicQueue, "crew", "key-c", "crew", "/own/", ok},
	{"queue dropped", privateQueue, nil, "crew", "key-a", "crew", "/own/", noQueue},
	{"queue dropped, other path", privateQueue, nil, "crew", "key-a", "crew", "/closed/", ok},
	{"queue moved", privateQueue, movedQueue, "crew", "key-a", "crew", "/own/", noQueue},
	{"queue moved, new path", privateQueue, movedQueue, "crew", "key-a", "crew", "/moved/", ok},
	{"queue moved, new path, other key", privateQueue, movedQueue, "crew", "key-c", "crew", "/moved/", none},
}

// forAccessChanges runs test for each change, on a host with the job and the configuration of before.
func forAccessChanges(t *testing.T, test func(a *accessHost, c *accessChange, change func())) {
	for i := range accessChanges {
		c := &accessChanges[i]
		t.Run(c.name, func(t *testing.T) {
			a := newAccessHost(t)
			a.setConfig(c.before, "crew")
			a.accept(accessID, "own", c.owner)
			test(a, c, func() { a.setConfig(c.after, c.keyA) })
		})
	}
}

// Guards against answers by the configuration of an earlier call.
func TestAccessFollowsTheConfiguration(t *testing.T) {
	forAccessChanges(t, func(a *accessHost, c *accessChange, change func()) {
		change()
		assert.Equal(a.t, c.want, a.calls(c.path+accessID, c.key))
	})
}

// Guards against an answer, to a query that has waited for the end of a job, by the configuration of
// before the wait.
func TestAccessAfterAWait(t *testing.T) {
	forAccessChanges(t, func(a *accessHost, c *accessChange, change func()) {
		outcome := make(chan Outcome, 1)
		go func() {
			outcome <- a.Serve(context.Background(), &Request{
				Verb: Query, Host: "q", Path: c.path + accessID, Key: c.key, ValidID: func(string) bool { return true },
			}).Outcome
		}()
		waits := func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.endWaiters) == 1
		}
		require.Eventually(a.t, func() bool { return len(outcome) == 1 || waits() }, time.Second, time.Millisecond)
		waited := waits()
		change()
		if got := <-outcome; waited {
			assert.Equal(a.t, c.want[0], got)
		}
	})
}

// Guards against a submission that is accepted by the configuration of before its body, which may take
// 30 s to arrive.
func TestAccessAfterASlowBody(t *testing.T) {
	forAccessChanges(t, func(a *accessHost, c *accessChange, change func()) {
		want := c.want[1]
		if want == IDReused {
			want = Recorded // Nobody has used the new ID.
		}
		began := false
		got := a.call(Submit, c.path+"00000000000000dd", c.key, func() { began = true; change() })
		if !began {
			return
		}
		assert.Equal(a.t, want, got)
		assert.Equal(a.t, want == Recorded, a.recorded.Load() == 1, "a denied submission leaves no record")
	})
}

// Guards against an old configuration that passes for a current one: a process that was suspended right
// after it had read the configuration found the age of the next one.
func TestAgeIsThatOfTheConfiguration(t *testing.T) {
	a := newAccessHost(t)
	a.setConfig(privateQueue, "crew")
	a.accept(accessID, "own", "crew")
	suspended := false
	a.Monotonic = func() int64 {
		if !suspended {
			suspended = true
			a.now.Add(10_000)
			a.setConfig(privateQueue, "")
		}
		return a.now.Load()
	}
	_, resp, allowed := a.authorise(&Request{Verb: Cancel, Host: "q", Path: "/own/" + accessID, Key: "key-a", ValidID: func(string) bool { return true }})
	assert.False(t, allowed)
	assert.Equal(t, NotExecuted, resp.Outcome)
}
