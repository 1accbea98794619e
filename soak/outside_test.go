package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/platform"
)

const (
	// dataCentres is the number of data centres. At most all but one are evacuated at once, so that
	// jobs can end.
	dataCentres = 3
	// evacuationSettings are the further settings of hosts whose workers name data centres. The
	// bound is the default of Scenario.MaxEvacuationDelay; hosts that are cut off or suspended, and
	// a store that is down, get no allowance, as with the revocation of keys.
	evacuationSettings = "bounds.evacuate_ms=5000\n"
	// rivalKey is the key of the organisation guild, which competes with crew. It is never revoked.
	rivalKey = "key-rival"
	// maxOutsiders bounds the clients outside the limits that are connected at once.
	maxOutsiders = 12
	// outsiderTime is how long such a client stays connected at most. It is above the hosts'
	// header_timeout_ms of 3,000.
	outsiderTime = 5 * time.Second
	// endlessHeader is the size at which headers without an end stop, in bytes: far above
	// the limit, and little enough for a busy machine.
	endlessHeader = 1 << 20
)

// runEvacuations requests evacuations and withdraws them until stop is closed: of one data centre or
// two, at times of one that is unknown, and at times by records that cannot be read.
func (c *cluster) runEvacuations(seed uint64, stop chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 5))
	pause := func(shortest, longest int) bool {
		select {
		case <-stop:
			return false
		case <-time.After(time.Duration(shortest+r.IntN(longest-shortest)) * time.Millisecond):
			return true
		}
	}
	for pause(200, 1000) {
		order := r.Perm(dataCentres)
		n, both := 1+min(1, r.IntN(3)), r.IntN(2) == 0
		if r.IntN(2) == 0 {
			c.coolDataCentre(order[0], time.Duration(2000+r.IntN(6000))*time.Millisecond)
		}
		for i := range n {
			c.evacuate(fmt.Sprint("dc", order[i]), true)
			if !both {
				pause(100, 3000)
			}
		}
		odd := c.putOddRecords(r, fmt.Sprint("dc", order[dataCentres-1]))
		// Only requests that last longer than the bound can be seen to be ignored.
		if r.IntN(3) == 0 {
			pause(500, 4000)
		} else {
			pause(6000, 12_000)
		}
		for i := range n {
			c.evacuate(fmt.Sprint("dc", order[i]), false)
			if !both {
				pause(100, 2000)
			}
		}
		for _, key := range odd {
			c.store.Put(platform.TopicConfiguration, key, nil)
		}
	}
}

// evacuate requests the evacuation of a data centre or withdraws the request. The time counts
// from when the store has the record.
func (c *cluster) evacuate(name string, inForce bool) {
	c.trace(fmt.Sprintf("evacuation of %s: %v", name, inForce))
	if !inForce {
		c.workers.SetEvacuated(name, false)
		c.store.Put(platform.TopicConfiguration, platform.EvacuationPrefix+name, nil)
		return
	}
	c.store.Put(platform.TopicConfiguration, platform.EvacuationPrefix+name, []byte("{}"))
	c.workers.SetEvacuated(name, true)
}

// putOddRecords writes records that change nothing, some of them under the name of a data centre that
// is not under evacuation, and returns their keys.
func (c *cluster) putOddRecords(r *rand.Rand, name string) []string {
	var keys []string
	for key, value := range map[string]string{"nowhere": "{}", "": "{}", name: "[1]"} {
		if r.IntN(2) == 0 {
			keys = append(keys, platform.EvacuationPrefix+key)
			c.store.Put(platform.TopicConfiguration, platform.EvacuationPrefix+key, []byte(value))
		}
	}
	return keys
}

// coolDataCentre makes the workers of data centre number n cold for d.
func (c *cluster) coolDataCentre(n int, d time.Duration) {
	for _, id := range c.workers.IDs() {
		if l, _ := c.workers.Listing(id); l.DataCentre == fmt.Sprint("dc", n) {
			c.workers.Cool(id, d)
		}
	}
}

// runOutsiders connects clients that exceed the limits to random hosts until stop is closed.
func (c *cluster) runOutsiders(seed uint64, stop chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 6))
	places := make(chan struct{}, maxOutsiders)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+r.IntN(300)) * time.Millisecond):
		}
		h := c.hosts[r.IntN(len(c.hosts))]
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			h.exceedLimits(i)
		})
	}
}

// exceedLimits sends a request of the i-th kind and awaits the end of the connection.
func (h *host) exceedLimits(i int) {
	conn, err := net.DialTimeout("tcp", h.callers(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(outsiderTime))
	const line = "POST /batch/00000000000000aa HTTP/1.1\r\nHost: soak.example\r\nCredential: " + rivalKey + "\r\n"
	const size = 65_000
	body := `{"spec":"` + strings.Repeat("p", size-10)
	var text string
	switch i % 5 {
	case 0:
		text = line + strings.Repeat("X-Pad: "+strings.Repeat("p", 91)+"\r\n", endlessHeader/100)
	case 1:
		text = line + "X-Pad: " + strings.Repeat("p", endlessHeader)
	case 2:
		text = strings.Repeat("\r\n", endlessHeader/2)
	case 3:
		text = line + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + body
	case 4:
		text = line + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n \r\n", size)
	}
	// The host may close the connection at any time.
	if _, err := io.WriteString(conn, text); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// requireAnswers requires that jobs are accepted again.
func (l *loadGenerator) requireAnswers() {
	r := rand.New(rand.NewPCG(l.seed, 97))
	c := &http.Client{Timeout: callerTimeout}
	defer c.CloseIdleConnections()
	accepted := false
	for i, end := 0, time.Now().Add(settleTimeout); !accepted && time.Now().Before(end); i++ {
		accepted = !l.submit(c, r, 99, i).acceptedAt.IsZero()
	}
	require.True(l.cluster.t, accepted, "no host accepts a job")
}
