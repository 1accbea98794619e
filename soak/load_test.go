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
	callerTimeout = 3 * time.Second
	// visible is the time after which an accepted job must be known everywhere.
	visibilityTimeout = 3 * time.Second
	// revocation is the time after which a key that was taken away must not work.
	revocationTimeout = 5 * time.Second
	// settleTime is the time in which all jobs must end once the faults are over.
	settleTimeout = 60 * time.Second
	// tries is how often a caller hands a job in.
	maxSubmitAttempts = 4
)

// work is a job that a caller handed in.
type submittedJob struct {
	id, prefix, key string
	alwaysFails     bool
	acceptedAt      time.Time
	// unsure is set when an answer was missing.
	outcomeUnknown bool
	cancelled      bool
	lastState      string
}

// load hands jobs in and notes what callers saw.
type loadGenerator struct {
	cluster *cluster
	seed    uint64

	mu             sync.Mutex
	jobs           []*submittedJob
	violations     []string
	responseCounts map[string]int
}

func newLoadGenerator(c *cluster, seed uint64) *loadGenerator {
	return &loadGenerator{cluster: c, seed: seed, responseCounts: make(map[string]int)}
}

func (l *loadGenerator) violationf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *loadGenerator) reportedViolations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// client hands jobs in and asks for them until stop is closed. It keeps its
// connections.
func (l *loadGenerator) runClient(n int, stop chan struct{}) {
	r := rand.New(rand.NewPCG(l.seed, uint64(10+n)))
	c := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	var accepted []*submittedJob
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+r.IntN(500)) * time.Millisecond):
		}
		if i%3 == 0 {
			if j := l.submit(c, r, n, i); !j.acceptedAt.IsZero() {
				accepted = append(accepted, j)
			}
			continue
		}
		if len(accepted) == 0 {
			continue
		}
		j := accepted[r.IntN(len(accepted))]
		if r.IntN(20) == 0 && !j.cancelled {
			l.cancel(c, r, j)
			continue
		}
		l.checkState(c, r, j)
	}
}

// call makes one call to a host, and returns status 0 for no answer.
func (l *loadGenerator) call(c *http.Client, r *rand.Rand, method string, j *submittedJob, body string) (int, []byte) {
	h := l.cluster.hosts[r.IntN(len(l.cluster.hosts))]
	req, err := http.NewRequest(method, "http://"+h.callersAddress+j.prefix+j.id, strings.NewReader(body))
	if err != nil {
		l.violationf("a request cannot be made: %v", err)
		return 0, nil
	}
	req.Host = "soak.example"
	req.Header.Set("Credential", j.key)
	req.Header.Set("Timeout-Ms", "3000")
	sent := time.Now()
	revoked := l.cluster.timeSinceRevocation(j.key, sent)
	res, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		return 0, nil
	}
	if res.StatusCode < 300 && revoked > revocationTimeout {
		l.violationf("%s by key %s ran %v after it was taken away", method, j.key, revoked)
	}
	l.mu.Lock()
	l.responseCounts[fmt.Sprint(method, " ", res.StatusCode)]++
	l.mu.Unlock()
	return res.StatusCode, b
}

// submit hands a job in, up to four times.
func (l *loadGenerator) submit(c *http.Client, r *rand.Rand, n, i int) *submittedJob {
	j := &submittedJob{
		id: fmt.Sprintf("%04x%04x%08x", n, i, l.seed), prefix: "/batch/", key: l.cluster.keys[r.IntN(len(l.cluster.keys))],
		alwaysFails: r.IntN(15) == 0,
	}
	tasks, ms, gang := 1+r.IntN(6), 300+r.IntN(2500), r.IntN(2) == 0
	if r.IntN(2) == 0 {
		j.prefix = "/urgent/"
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":4000,"mem_mb":1000,"gpu":%d,"est_ms":%d,"gang":%v,"saves_progress":%v}]}`,
		tasks, 1+r.IntN(2), ms, gang, r.IntN(2) == 0)
	spec, err := platform.DecodeJob([]byte(body))
	if err != nil {
		l.violationf("the load's own job cannot be read: %v", err)
		return j
	}
	spec.ID, spec.MaxAttempts = j.id, 4
	l.cluster.workers.AddJob(&spec, int64(ms), j.alwaysFails)
	l.mu.Lock()
	l.jobs = append(l.jobs, j)
	l.mu.Unlock()
	for range maxSubmitAttempts {
		switch status, _ := l.call(c, r, http.MethodPost, j, body); status {
		case http.StatusOK:
			l.mu.Lock()
			j.acceptedAt = time.Now()
			l.mu.Unlock()
			return j
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(300 * time.Millisecond)
		case http.StatusUnauthorized:
			return j
		case 0, http.StatusGatewayTimeout:
			j.outcomeUnknown = true
		default:
			l.violationf("job %s was answered %d", j.id, status)
			return j
		}
	}
	return j
}

func (l *loadGenerator) cancel(c *http.Client, r *rand.Rand, j *submittedJob) {
	j.cancelled = true
	l.call(c, r, http.MethodDelete, j, "")
}

// ask asks for a job's state and checks the answer.
func (l *loadGenerator) checkState(c *http.Client, r *rand.Rand, j *submittedJob) {
	status, b := l.call(c, r, http.MethodGet, j, "")
	switch status {
	case http.StatusGone:
		if since := time.Since(j.acceptedAt); since > visibilityTimeout {
			l.violationf("job %s is not known %v after it was accepted", j.id, since)
		}
	case http.StatusOK:
		var s struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(b, &s); err != nil {
			l.violationf("job %s has the state %q", j.id, b)
			return
		}
		j.lastState = s.State
		_, succeeded := l.cluster.workers.Starts(j.id)
		if s.State == "completed" && !succeeded {
			l.violationf("job %s is shown as completed and is not", j.id)
		}
		if s.State == "failed" && !j.alwaysFails {
			l.violationf("job %s is shown as failed without cause", j.id)
		}
		if s.State == "cancelled" && !j.cancelled {
			l.violationf("job %s is shown as cancelled by nobody", j.id)
		}
	}
}

// settle waits until all accepted jobs have ended, and checks that no refused one
// ran.
func (l *loadGenerator) settle() {
	r := rand.New(rand.NewPCG(l.seed, 99))
	c := &http.Client{Timeout: callerTimeout}
	validKey := ""
	for _, k := range l.cluster.keys {
		if l.cluster.timeSinceRevocation(k, time.Now()) == 0 {
			validKey = k
		}
	}
	for _, j := range l.jobs {
		j.key = validKey
		if j.acceptedAt.IsZero() {
			continue
		}
		ended := func() bool {
			l.checkState(c, r, j)
			return j.lastState == "completed" || j.lastState == "failed" || j.lastState == "cancelled"
		}
		require.Eventually(l.cluster.t, ended, settleTimeout, 100*time.Millisecond, "job %s ends, its last state is %q", j.id, j.lastState)
	}
	for _, j := range l.jobs {
		if starts, _ := l.cluster.workers.Starts(j.id); j.acceptedAt.IsZero() && !j.outcomeUnknown && starts > 0 {
			l.violationf("job %s was refused and ran", j.id)
		}
	}
}

// report prints what was seen.
func (l *loadGenerator) logSummary() {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted := 0
	for _, j := range l.jobs {
		if !j.acceptedAt.IsZero() {
			accepted++
		}
	}
	l.cluster.t.Logf("%d jobs, %d accepted; answers %v", len(l.jobs), accepted, l.responseCounts)
}
