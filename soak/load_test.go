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
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 3 * time.Second
	// visibilityTimeout is the time after which every host must know an accepted job.
	visibilityTimeout = 3 * time.Second
	// revocationTimeout is the time after which hosts must reject a revoked API key.
	revocationTimeout = 5 * time.Second
	// settleTimeout is the time within which each job must end once all faults are
	// over.
	settleTimeout = 60 * time.Second
	// publicPrefix is the path of a queue that takes no key. No job is submitted to it.
	publicPrefix = "/open/"
	// maxSubmitAttempts is how many times a caller submits a job at most.
	maxSubmitAttempts = 4
)

// submittedJob is a job that a caller tried to submit.
type submittedJob struct {
	id, prefix, key string
	// alwaysFails is set when the workers let every task of the job fail.
	alwaysFails bool
	// acceptedAt is zero until a host has accepted the job.
	acceptedAt time.Time
	// outcomeUnknown is set when a submission got no response or a gateway timeout,
	// so that the job may have been accepted.
	outcomeUnknown bool
	cancelled      bool
	lastState      string
}

// loadGenerator submits, queries and cancels jobs, and records violations that
// callers observe.
type loadGenerator struct {
	cluster *cluster
	seed    uint64

	mu             sync.Mutex
	jobs           []*submittedJob
	violations     []string
	responseCounts map[string]int
	// accepted is closed, and replaced, when a job is accepted.
	accepted chan struct{}
}

func newLoadGenerator(c *cluster, seed uint64) *loadGenerator {
	return &loadGenerator{cluster: c, seed: seed, responseCounts: make(map[string]int), accepted: make(chan struct{})}
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

// accept notes that a host has accepted a job.
func (l *loadGenerator) accept(j *submittedJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.acceptedAt = time.Now()
	close(l.accepted)
	l.accepted = make(chan struct{})
}

// awaitAcceptance waits until a job is accepted, at most for d.
func (l *loadGenerator) awaitAcceptance(d time.Duration) {
	l.mu.Lock()
	accepted := l.accepted
	l.mu.Unlock()
	select {
	case <-accepted:
	case <-time.After(d):
	}
}

// runClient submits and cancels jobs and queries their states until stop is closed.
// It reuses its connections.
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
		if r.IntN(4) == 0 && *oldFlag == "" {
			l.checkAccess(c, r, j)
		}
	}
}

// checkAccess queries or cancels a job by the path of a public queue. Callers who have no right to
// the job must not succeed, and those who have must find it.
func (l *loadGenerator) checkAccess(c *http.Client, r *rand.Rand, j *submittedJob) {
	other := submittedJob{id: j.id, prefix: publicPrefix, key: j.key}
	if r.IntN(2) == 0 {
		// call reports it if the key was revoked and the job is found all the same.
		status, _ := l.call(c, r, http.MethodGet, &other, "")
		known := time.Since(j.acceptedAt) > visibilityTimeout && l.cluster.timeSinceRevocation(j.key, time.Now()) == 0
		if known && status == http.StatusGone {
			l.violationf("job %s is unknown by the path of another queue", j.id)
		}
		return
	}
	keys := []string{"", "key-unknown", rivalKey}
	if j.key == rivalKey {
		keys[2] = l.cluster.keys[r.IntN(len(l.cluster.keys))]
	}
	other.key = keys[r.IntN(len(keys))]
	method := []string{http.MethodGet, http.MethodDelete}[r.IntN(2)]
	if status, _ := l.call(c, r, method, &other, ""); status/100 == 2 {
		l.violationf("%s of job %s with key %q of somebody else succeeded", method, j.id, other.key)
	}
}

// call sends one request to a random host. It returns status 0 when there is no
// complete response.
func (l *loadGenerator) call(c *http.Client, r *rand.Rand, method string, j *submittedJob, body string) (int, []byte) {
	h := l.cluster.hosts[r.IntN(len(l.cluster.hosts))]
	req, err := http.NewRequest(method, "http://"+h.callers()+j.prefix+j.id, strings.NewReader(body))
	if err != nil {
		l.violationf("cannot create a request: %v", err)
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
		l.violationf("%s with key %s succeeded %v after its revocation", method, j.key, revoked)
	}
	l.mu.Lock()
	l.responseCounts[fmt.Sprint(method, " ", res.StatusCode)]++
	l.mu.Unlock()
	return res.StatusCode, b
}

// submit submits a random job, up to maxSubmitAttempts times.
func (l *loadGenerator) submit(c *http.Client, r *rand.Rand, n, i int) *submittedJob {
	j := &submittedJob{
		id: fmt.Sprintf("%04x%04x%08x", n, i, l.seed), prefix: "/batch/", key: l.cluster.keys[r.IntN(len(l.cluster.keys))],
		alwaysFails: r.IntN(15) == 0,
	}
	if r.IntN(3) == 0 {
		j.key = rivalKey
	}
	tasks, ms, gang := 1+r.IntN(6), 300+r.IntN(2500), r.IntN(2) == 0
	if r.IntN(2) == 0 {
		j.prefix = "/urgent/"
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":4000,"mem_mb":1000,"gpu":%d,"est_ms":%d,"gang":%v,"saves_progress":%v}]}`,
		tasks, 1+r.IntN(2), ms, gang, r.IntN(2) == 0)
	spec, err := platform.DecodeJob([]byte(body))
	if err != nil {
		l.violationf("cannot decode the generated job: %v", err)
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
			l.accept(j)
			return j
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(300 * time.Millisecond)
		case http.StatusUnauthorized:
			return j
		case 0, http.StatusGatewayTimeout:
			j.outcomeUnknown = true
		default:
			l.violationf("submission of job %s returned status %d", j.id, status)
			return j
		}
	}
	return j
}

func (l *loadGenerator) cancel(c *http.Client, r *rand.Rand, j *submittedJob) {
	j.cancelled = true
	l.call(c, r, http.MethodDelete, j, "")
}

// checkState queries the state of a job and records a violation when the state
// contradicts what workers and callers did.
func (l *loadGenerator) checkState(c *http.Client, r *rand.Rand, j *submittedJob) {
	status, b := l.call(c, r, http.MethodGet, j, "")
	switch status {
	case http.StatusGone:
		if since := time.Since(j.acceptedAt); since > visibilityTimeout {
			l.violationf("job %s is unknown %v after it was accepted", j.id, since)
		}
	case http.StatusOK:
		var s struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(b, &s); err != nil {
			l.violationf("job %s has the malformed state %q", j.id, b)
			return
		}
		j.lastState = s.State
		if s.State == "completed" {
			l.cluster.workers.Shown(j.id)
		}
		starts, succeeded := l.cluster.workers.Starts(j.id)
		if s.State == "running" && starts == 0 && *oldFlag == "" {
			l.violationf("job %s is reported as running before any run of it has started", j.id)
		}
		if s.State == "completed" && !succeeded {
			l.violationf("job %s is reported as completed but is not", j.id)
		}
		if s.State == "failed" && !j.alwaysFails {
			l.violationf("job %s is reported as failed without cause", j.id)
		}
		if s.State == "cancelled" && !j.cancelled {
			l.violationf("job %s is reported as cancelled but nobody cancelled it", j.id)
		}
	}
}

// settle waits until all accepted jobs have ended and checks that no rejected job
// ran. It queries with a key that is still valid.
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
		if j.key != rivalKey {
			j.key = validKey
		}
		if j.acceptedAt.IsZero() {
			continue
		}
		ended := func() bool {
			l.checkState(c, r, j)
			return j.lastState == "completed" || j.lastState == "failed" || j.lastState == "cancelled"
		}
		require.Eventually(l.cluster.t, ended, settleTimeout, 100*time.Millisecond, "job %s did not end; its last state is %q", j.id, j.lastState)
	}
	for _, j := range l.jobs {
		if starts, _ := l.cluster.workers.Starts(j.id); j.acceptedAt.IsZero() && !j.outcomeUnknown && starts > 0 {
			l.violationf("job %s was rejected but ran", j.id)
		}
	}
}

// logSummary logs the number of jobs and of responses by method and status.
func (l *loadGenerator) logSummary() {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted := 0
	for _, j := range l.jobs {
		if !j.acceptedAt.IsZero() {
			accepted++
		}
	}
	l.cluster.t.Logf("%d jobs, %d accepted; responses %v", len(l.jobs), accepted, l.responseCounts)
}
