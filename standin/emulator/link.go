package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/simulation"
	"github.com/limpetrelay/limpetrelay/platform"
)

// Cut is a fault of the path between the hosts and a worker.
type Cut int

// The cuts. Several may overlap.
const (
	// CutBoth loses orders and answers.
	CutBoth Cut = iota
	// CutAnswers loses answers only: orders are executed.
	CutAnswers
	// CutDirectory keeps the worker's heartbeats from the directory.
	CutDirectory
	// CutNewer loses orders and answers of coordinators that are newer than the newest one
	// that the worker had heard when the cut began.
	CutNewer
	// CutOlder loses those of the others.
	CutOlder
	cutCount
)

// Late makes a share of the orders unanswered and executed only after Min to Max.
type Late struct {
	Share, PollShare float64
	Min, Max         time.Duration
	// AcrossRestarts lets the next lifetime of the worker execute them too.
	AcrossRestarts bool
}

// Link serves a worker at an address and injects faults of the path to it.
type Link struct {
	pool    *simulation.WorkerPool
	worker  string
	handler http.Handler
	trace   func(string)

	mu      sync.Mutex
	rand    *rand.Rand
	server  *httptest.Server
	renames int
	cuts    [cutCount]int
	late    Late
	// heardAt is when the last heartbeat left, and sequence counts heartbeats.
	heardAt  time.Time
	sequence int
	// startCount counts the start orders that the worker has received.
	startCount int
	// token is the highest fencing token that has arrived, and cutToken what it was when
	// CutNewer or CutOlder began.
	token, cutToken uint64
	wg              sync.WaitGroup
}

// entryLifetime is the time without heartbeats after which the directory drops an entry.
const entryLifetime = 4500 * time.Millisecond

// NewLink serves a worker of the pool. trace is called for each fault; nil for none.
func NewLink(pool *simulation.WorkerPool, worker string, seed uint64, trace func(string)) *Link {
	l := &Link{pool: pool, worker: worker, trace: trace, rand: rand.New(rand.NewPCG(seed, 7))}
	l.handler = workerHandler(pool, worker, l.Name)
	l.server = httptest.NewServer(l)
	return l
}

// Name returns the ID under which the worker registers.
func (l *Link) Name() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.name()
}

func (l *Link) name() string {
	if l.renames == 0 {
		return l.worker
	}
	return fmt.Sprint(l.worker, "-", l.renames)
}

// Worker returns the worker's ID in the pool.
func (l *Link) Worker() string { return l.worker }

// Cut begins a cut, and ends it after d.
func (l *Link) Cut(kind Cut, d time.Duration) {
	l.tracef("cut %d for %v", kind, d)
	l.addCut(kind, 1)
	time.Sleep(d)
	l.addCut(kind, -1)
	l.tracef("cut %d ends", kind)
}

func (l *Link) addCut(kind Cut, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > 0 && l.cuts[CutNewer]+l.cuts[CutOlder] == 0 {
		l.cutToken = l.token
	}
	l.cuts[kind] += n
}

// SetLate makes orders late from now on.
func (l *Link) SetLate(late Late) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = late
}

// Restart ends the worker's process, which starts again under its ID after d. Callers see their
// connections end unless answers are lost.
func (l *Link) Restart(d time.Duration) {
	l.tracef("restarts in %v", d)
	l.pool.Crash(l.worker, d)
	l.mu.Lock()
	seen := l.cuts[CutAnswers]+l.cuts[CutBoth] == 0
	l.mu.Unlock()
	if seen {
		l.current().CloseClientConnections()
	}
}

// RestartUnseen loses all answers, restarts the process after a start order has arrived, and cuts
// the worker off for d once the next process has executed one.
func (l *Link) RestartUnseen(down, d time.Duration) {
	l.addCut(CutAnswers, 1)
	defer l.addCut(CutAnswers, -1)
	if !l.awaitStart(startTimeout) {
		return
	}
	l.Restart(down)
	if l.awaitStart(down + startTimeout) {
		l.Cut(CutBoth, d)
	}
}

// startTimeout is how long RestartUnseen waits for a start order.
const startTimeout = 3 * time.Second

// awaitStart waits until the worker receives a start order, and reports false after d.
func (l *Link) awaitStart(d time.Duration) bool {
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.startCount
	}
	for first, end := count(), time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if count() > first {
			return true
		}
	}
	return false
}

// Leave ends the worker's process for good. A worker with another ID takes its address after d.
func (l *Link) Leave(d time.Duration) {
	l.Restart(d)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renames++
}

// Move moves the worker to another address.
func (l *Link) Move() {
	next := httptest.NewServer(l)
	l.mu.Lock()
	last := l.server
	l.server = next
	l.mu.Unlock()
	l.tracef("moves to %s", next.Listener.Addr())
	last.CloseClientConnections()
	last.Close()
}

// Close ends the service.
func (l *Link) Close() {
	s := l.current()
	s.CloseClientConnections()
	s.Close()
	l.wg.Wait()
}

func (l *Link) current() *httptest.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.server
}

func (l *Link) tracef(format string, args ...any) {
	if l.trace != nil {
		l.trace(l.worker + ": " + fmt.Sprintf(format, args...))
	}
}

// Heartbeat writes the worker's entry to the directory of s, or drops it when the worker has left
// or was silent for too long.
func (l *Link) Heartbeat(s *Store) error {
	listing, up := l.pool.Listing(l.worker)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.renames > 0 {
		l.renames--
		last := l.name()
		l.renames++
		if s.Newest(platform.TopicWorkers, last) != nil {
			s.Put(platform.TopicWorkers, last, nil)
		}
	}
	if !up || l.cuts[CutDirectory] > 0 {
		if time.Since(l.heardAt) > entryLifetime && s.Newest(platform.TopicWorkers, l.name()) != nil {
			s.Put(platform.TopicWorkers, l.name(), nil)
		}
		return nil
	}
	l.sequence++
	l.heardAt = time.Now()
	listing.Address = l.server.Listener.Addr().String()
	b, err := DirectoryEntry(listing, l.sequence)
	if err == nil {
		s.Put(platform.TopicWorkers, l.name(), b)
	}
	return err
}

// Expire drops the worker's entry from the directory, which comes back after d.
func (l *Link) Expire(s *Store, d time.Duration) {
	l.addCut(CutDirectory, 1)
	l.tracef("entry expires for %v", d)
	s.Put(platform.TopicWorkers, l.Name(), nil)
	time.Sleep(d)
	l.addCut(CutDirectory, -1)
}

// answersLost reports whether no answer to an order with the token arrives now.
func (l *Link) answersLost(token uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[CutAnswers] > 0 || l.separates(token)
}

// separates reports whether a cut separates the worker from the coordinator with the token.
func (l *Link) separates(token uint64) bool {
	return l.cuts[CutBoth] > 0 || l.cuts[CutNewer] > 0 && token > l.cutToken || l.cuts[CutOlder] > 0 && token <= l.cutToken
}

// draw returns whether a call arrives, and by how much its execution is late.
func (l *Link) draw(path string, token uint64) (arrives bool, late time.Duration, acrossRestarts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.late.Share
	if path == "/hold" {
		share = l.late.PollShare
	}
	if l.rand.Float64() < share {
		late = l.late.Min + time.Duration(l.rand.Int64N(int64(l.late.Max-l.late.Min)+1))
	}
	arrives = !l.separates(token)
	if arrives {
		l.token = max(l.token, token)
	}
	return arrives, late, l.late.AcrossRestarts
}

// ServeHTTP serves a call to the worker.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var order orderBody
	// What cannot be decoded is refused by the worker.
	_ = json.Unmarshal(body, &order)
	arrives, late, acrossRestarts := l.draw(r.URL.Path, order.Token)
	switch {
	case !arrives:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case late > 0:
		l.executeLate(r, body, late, acrossRestarts)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer, ok := l.execute(r)
	if l.answersLost(order.Token) {
		<-r.Context().Done()
	}
	if !ok || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", answer.Header().Get("Content-Type"))
	w.WriteHeader(answer.Code)
	// A caller that has left is no error of the worker.
	_, _ = w.Write(answer.Body.Bytes())
}

// execute passes a call to the worker. It reports false when the worker is down.
func (l *Link) execute(r *http.Request) (answer *httptest.ResponseRecorder, ok bool) {
	defer func() {
		if e := recover(); e != nil {
			if err, _ := e.(error); !errors.Is(err, http.ErrAbortHandler) {
				panic(e)
			}
		}
	}()
	answer = httptest.NewRecorder()
	l.handler.ServeHTTP(answer, r)
	if r.URL.Path == "/run-start" {
		l.mu.Lock()
		l.startCount++
		l.mu.Unlock()
	}
	return answer, true
}

// executeLate executes a call after d, in the lifetime in which it arrived unless acrossRestarts.
func (l *Link) executeLate(r *http.Request, body []byte, d time.Duration, acrossRestarts bool) {
	sentTo, _ := l.pool.Listing(l.worker)
	// A poll does not wait for an end then.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	late := r.Clone(ctx)
	late.Body = io.NopCloser(bytes.NewReader(body))
	l.wg.Go(func() {
		time.Sleep(d)
		now, up := l.pool.Listing(l.worker)
		if !up || now.Lifetime != sentTo.Lifetime && !acrossRestarts {
			return
		}
		answer, ok := l.execute(late)
		if !ok {
			return
		}
		l.tracef("executed %v late, other lifetime %v: %s %s: %d", d, now.Lifetime != sentTo.Lifetime, r.URL.Path, body, answer.Code)
	})
}
