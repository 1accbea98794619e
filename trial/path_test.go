package trial

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/standin"
)

// smallCluster starts a platform, two workers and two entry hosts, and creates the
// organisation skimworks with a guarantee of one worker.
func smallCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t)
	c.addWorker("w1", "gulf-a", "r1")
	c.addWorker("w2", "gulf-a", "r1")
	c.addHost("e1")
	c.addHost("e2")
	c.eventually("the workers are live", func() bool { return c.liveWorkers("e1") == 2 && c.liveWorkers("e2") == 2 })
	a := c.call("e2", http.MethodPost, "/v1/config/patches",
		`{"base":0,"author":"op","changes":[{"setOrganisation":{"name":"skimworks","guarantee":{"gulf-a":{"worker":1}}}}]}`)
	require.Equal(t, http.StatusOK, a.Status, "%+v", a)
	require.EqualValues(t, 1, a.Version)
	c.eventually("the patch is in force", func() bool {
		return c.call("e1", http.MethodGet, "/v1/config", "").Version == 1
	})
	return c
}

// liveWorkers returns the number of live workers in a host's status, or 0 when the
// host does not respond.
func (c *cluster) liveWorkers(host string) int {
	res, err := http.Get("http://" + c.hosts[host].address + "/v1/status")
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	var s struct{ Workers []struct{ State string } }
	if decode(res.Body, &s) != nil {
		return 0
	}
	n := 0
	for _, w := range s.Workers {
		if w.State == "live" {
			n++
		}
	}
	return n
}

func TestWholePath(t *testing.T) {
	c := smallCluster(t)
	small := fmt.Sprintf(`{"organisation":"skimworks","class":"assay","accelerators":1,"runTime":200,"wait":5000,"payload":%s}`,
		base64JSON(standin.TaskSpec{RunTime: 50, Echo: "assay 42"}.Payload()))
	a := c.call("e1", http.MethodPost, "/v1/jobs", small)
	require.Equal(t, "completed", a.result(), "%+v", a)
	require.Equal(t, "assay 42", string(a.Output))

	gang := fmt.Sprintf(`{"organisation":"skimworks","class":"routePlan","key":"plan-1","members":4,"adjacency":"rack","accelerators":4,"wait":10000,"payload":%s}`,
		base64JSON(standin.TaskSpec{RunTime: 100, Echo: "plan"}.Payload()))
	a = c.call("e2", http.MethodPost, "/v1/jobs", gang)
	require.Equal(t, "completed", a.result(), "%+v", a)
	again := c.call("e1", http.MethodPost, "/v1/jobs", gang)
	require.Equal(t, a.Job, again.Job)
	require.Equal(t, "completed", again.result())

	once := fmt.Sprintf(`{"organisation":"skimworks","class":"reconciliation","key":"lease-7","once":true,"cores":4,"wait":10000,"payload":%s}`,
		base64JSON(standin.TaskSpec{RunTime: 50, Echo: "billed"}.Payload()))
	a = c.call("e1", http.MethodPost, "/v1/jobs", once)
	require.Equal(t, "completed", a.result(), "%+v", a)
	require.Equal(t, "billed", string(a.Output))
}
