package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/platform"
)

const (
	// callTimeout is how long a caller waits.
	callTimeout = 3 * time.Second
	// visible is the time after which an accepted job must be known everywhere.
	visible = 3 * time.Second
	// revocation is the time after which a key that was taken away must not work.
	revocation = 5 * time.Second
	// settleTime is the time in which all jobs must end once the faults are over.
	settleTime = 60 * time.Second
	// tries is how often a caller hands a job in.
	tries = 4
)

// work is a job that a caller handed in.
type work struct {
	id, prefix, key string
	hopeless        bool
	accepted        time.Time
	// unsure is set when an answer was missing.
	unsure    bool
	cancelled bool
	last      string
}

// load hands jobs in and notes what callers saw.
type load struct {
	w    *world
	seed uint64

	mu    sync.Mutex
	works []*work
	bad   []string
	count map[string]int
}

func newLoad(w *world, seed uint64) *load {
	return &load{w: w, seed: seed, count: make(map[string]int)}
}

func (l *load) notef(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bad = append(l.bad, fmt.Sprintf(format, args...))
}

func (l *load) broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.bad...)
}

// client hands jobs in and asks for them until stop is closed. It keeps its
// connections.
func (l *load) client(n int, stop chan struct{}) {
	r := rand.New(rand.NewPCG(l.seed, uint64(10+n)))
	c := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	var mine []*work
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+r.IntN(500)) * time.Millisecond):
		}
		if i%3 == 0 {
			if k := l.submit(c, r, n, i); !k.accepted.IsZero() {
				mine = append(mine, k)
			}
			continue
		}
		if len(mine) == 0 {
			continue
		}
		k := mine[r.IntN(len(mine))]
		if r.IntN(20) == 0 && !k.cancelled {
			l.cancel(c, r, k)
			continue
		}
		l.ask(c, r, k)
	}
}

// call makes one call to a host, and returns status 0 for no answer.
func (l *load) call(c *http.Client, r *rand.Rand, method string, k *work, body string) (int, []byte) {
	h := l.w.hosts[r.IntN(len(l.w.hosts))]
	req, err := http.NewRequest(method, "http://"+h.front+k.prefix+k.id, strings.NewReader(body))
	if err != nil {
		l.notef("a request cannot be made: %v", err)
		return 0, nil
	}
	req.Host = "soak.example"
	req.Header.Set("Credential", k.key)
	req.Header.Set("Timeout-Ms", "3000")
	sent := time.Now()
	revoked := l.w.revokedFor(k.key, sent)
	res, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		return 0, nil
	}
	if res.StatusCode < 300 && revoked > revocation {
		l.notef("%s by key %s ran %v after it was taken away", method, k.key, revoked)
	}
	l.mu.Lock()
	l.count[fmt.Sprint(method, " ", res.StatusCode)]++
	l.mu.Unlock()
	return res.StatusCode, b
}

// submit hands a job in, up to four times.
func (l *load) submit(c *http.Client, r *rand.Rand, n, i int) *work {
	k := &work{
		id: fmt.Sprintf("%04x%04x%08x", n, i, l.seed), prefix: "/batch/", key: l.w.keys[r.IntN(len(l.w.keys))],
		hopeless: r.IntN(15) == 0,
	}
	tasks, ms, gang := 1+r.IntN(6), 300+r.IntN(2500), r.IntN(2) == 0
	if r.IntN(2) == 0 {
		k.prefix = "/urgent/"
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":4000,"mem_mb":1000,"gpu":%d,"est_ms":%d,"gang":%v,"saves_progress":%v}]}`,
		tasks, 1+r.IntN(2), ms, gang, r.IntN(2) == 0)
	spec, err := platform.DecodeJob([]byte(body))
	if err != nil {
		l.notef("the load's own job cannot be read: %v", err)
		return k
	}
	spec.ID, spec.MaxAttempts = k.id, 4
	l.w.yard.AddJob(&spec, int64(ms), k.hopeless)
	l.mu.Lock()
	l.works = append(l.works, k)
	l.mu.Unlock()
	for range tries {
		switch status, _ := l.call(c, r, http.MethodPost, k, body); status {
		case http.StatusOK:
			l.mu.Lock()
			k.accepted = time.Now()
			l.mu.Unlock()
			return k
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(300 * time.Millisecond)
		case http.StatusUnauthorized:
			return k
		case 0, http.StatusGatewayTimeout:
			k.unsure = true
		default:
			l.notef("job %s was answered %d", k.id, status)
			return k
		}
	}
	return k
}

func (l *load) cancel(c *http.Client, r *rand.Rand, k *work) {
	k.cancelled = true
	l.call(c, r, http.MethodDelete, k, "")
}

// ask asks for a job's state and checks the answer.
func (l *load) ask(c *http.Client, r *rand.Rand, k *work) {
	status, b := l.call(c, r, http.MethodGet, k, "")
	switch status {
	case http.StatusGone:
		if since := time.Since(k.accepted); since > visible {
			l.notef("job %s is not known %v after it was accepted", k.id, since)
		}
	case http.StatusOK:
		var s struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(b, &s); err != nil {
			l.notef("job %s has the state %q", k.id, b)
			return
		}
		k.last = s.State
		_, succeeded := l.w.yard.Starts(k.id)
		if s.State == "completed" && !succeeded {
			l.notef("job %s is shown as completed and is not", k.id)
		}
		if s.State == "failed" && !k.hopeless {
			l.notef("job %s is shown as failed without cause", k.id)
		}
		if s.State == "cancelled" && !k.cancelled {
			l.notef("job %s is shown as cancelled by nobody", k.id)
		}
	}
}

// settle waits until all accepted jobs have ended, and checks that no refused one
// ran.
func (l *load) settle() {
	r := rand.New(rand.NewPCG(l.seed, 99))
	c := &http.Client{Timeout: callTimeout}
	key := ""
	for _, k := range l.w.keys {
		if l.w.revokedFor(k, time.Now()) == 0 {
			key = k
		}
	}
	for _, k := range l.works {
		k.key = key
		if k.accepted.IsZero() {
			continue
		}
		ended := func() bool {
			l.ask(c, r, k)
			return k.last == "completed" || k.last == "failed" || k.last == "cancelled"
		}
		require.Eventually(l.w.t, ended, settleTime, 100*time.Millisecond, "job %s ends, its last state is %q", k.id, k.last)
	}
	for _, k := range l.works {
		if starts, _ := l.w.yard.Starts(k.id); k.accepted.IsZero() && !k.unsure && starts > 0 {
			l.notef("job %s was refused and ran", k.id)
		}
	}
}

// report prints what was seen.
func (l *load) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted := 0
	for _, k := range l.works {
		if !k.accepted.IsZero() {
			accepted++
		}
	}
	l.w.t.Logf("%d jobs, %d accepted; answers %v", len(l.works), accepted, l.count)
}
