package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/standin"
)

// request sends an HTTP request to a host's API without a network.
func (sim *simulation) request(host, method, path, body string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	sim.host(host).RegisterRoutes(mux)
	rec := httptest.NewRecorder()
	mux.ServeHTTP(rec, httptest.NewRequestWithContext(sim.ctx, method, path, strings.NewReader(body)))
	return rec
}

// TestBadInput sends invalid requests to every path. The host must answer each with
// a typed error that has a remedy, and change nothing.
func TestBadInput(t *testing.T) {
	longName := strings.Repeat("x", 200)
	inSimulation(t, func(t *testing.T, sim *simulation) {
		version := sim.host("a-e0").View().Version
		for _, c := range []struct {
			method, path, body string
			status             int
			kind               string
		}{
			{"POST", "/v1/jobs", `{`, 400, "invalid"},
			{"POST", "/v1/jobs", `{} {}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","shape":1}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"class":"c"}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme"}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"` + longName + `","class":"c"}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","key":"a/b"}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"nobody","class":"c"}`, 404, "notFound"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","members":-1}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","members":1000000}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","accelerators":-8}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","accelerators":9}`, 400, "infeasible"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","memory":100000}`, 400, "infeasible"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","members":65,"accelerators":1}`, 400, "infeasible"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","adjacency":"shelf"}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","runTime":-1}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","wait":-1}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","wait":600001}`, 400, "invalid"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","payload":"` + strings.Repeat("A", 200_000) + `"}`, 413, "tooLarge"},
			{"POST", "/v1/jobs", `{"organisation":"acme","class":"c","payload":"` + strings.Repeat("A", 100_000) + `"}`, 413, "tooLarge"},
			{"GET", "/v1/jobs/none", ``, 404, "notFound"},
			{"GET", "/v1/jobs/none?wait=soon", ``, 400, "invalid"},
			{"GET", "/v1/jobs/none/answers/0", ``, 404, "notFound"},
			{"GET", "/v1/jobs/none/answers/-1", ``, 400, "invalid"},
			{"POST", "/v1/jobs/none/cancel", `{"by":"clerk"}`, 404, "notFound"},
			{"POST", "/v1/jobs/none/cancel", `{"by":""}`, 400, "invalid"},
			{"POST", "/v1/jobs/none/cancel", `{"who":"clerk"}`, 400, "invalid"},
			{"GET", "/v1/requests/acme/none", ``, 404, "notFound"},
			{"POST", "/v1/config/patches", `{`, 400, "invalid"},
			{"POST", "/v1/config/patches", `{"base":0,"author":"op","changes":[{"setClass":{"name":"c"}}]}`, 409, "conflict"},
			{"POST", "/v1/config/patches", `{"base":1,"author":"op","changes":[{"setOrganisation":{"name":"o","guarantee":{"a":{"rack":9}}}}]}`, 400, "infeasible"},
			{"POST", "/v1/config/patches", strings.Repeat(" ", 300_000), 413, "tooLarge"},
			{"DELETE", "/v1/jobs/x", ``, 404, "notFound"},
			{"GET", "/v2", ``, 404, "notFound"},
		} {
			rec := sim.request("a-e1", c.method, c.path, c.body)
			name := fmt.Sprintf("%s %s %.60s", c.method, c.path, c.body)
			var e errorResponse
			require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &e), name)
			require.NotNil(t, e.Error, name)
			require.Equal(t, c.kind, string(e.Error.Kind), "%s: %s", name, e.Error.Message)
			require.Equal(t, c.status, rec.Code, name)
			require.NotEmpty(t, e.Error.Remedy, name)
			require.Equal(t, job.NotRun, e.Result, name)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, version, sim.host("a-e0").View().Version)
		require.Zero(t, sim.host("a-e0").View().Queued)
	})
}

// TestLargeAnswer fetches a large answer from another host than the one to which
// the job was submitted. When the worker dies during the transfer, the response
// must be aborted, so that the caller does not take a truncated answer for a whole
// one.
func TestLargeAnswer(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		const size = 3 << 20
		s := spec("acme", "render", "big", 100)
		s.Key, s.Payload = "big", standin.TaskSpec{RunTime: 100, Echo: "big", OutputSize: size}.Payload()
		r, err := sim.submit("a-e0", s, 20*time.Second)
		require.NoError(t, err)
		require.NotNil(t, r.Outcome)
		path := "/v1/jobs/" + r.Job + "/answers/0"
		rec := sim.request("a-e2", "GET", path, "")
		require.Equal(t, 200, rec.Code)
		require.Equal(t, size, rec.Body.Len())
		require.Equal(t, fmt.Sprint(size), rec.Header().Get("Content-Length"))
		require.Equal(t, r.Outcome.Answers[0].Sum, rec.Header().Get("Limpetrelay-Sum"))
		wk := sim.workers[r.Outcome.Answers[0].Worker]
		sim.after(sim.ctx, 6*time.Millisecond, wk.Kill)
		require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() { sim.request("a-e2", "GET", path, "") },
			"a truncated answer must break the connection")
		rec = sim.request("a-e2", "GET", path, "")
		require.Equal(t, 503, rec.Code, "%s", rec.Body)
	})
}

// TestAnswersOutOfOrder submits many requests that end in another order than they
// were submitted. Each caller must get the answer to its own request.
func TestAnswersOutOfOrder(t *testing.T) {
	inSimulation(t, func(t *testing.T, sim *simulation) {
		done := make(chan error, 48)
		for i := range 48 {
			go func() {
				echo := fmt.Sprintf("caller-%d", i)
				s := spec("acme", "assay", echo, int64(1000-20*i))
				if i%3 == 0 {
					s.Key = echo
				}
				r, err := sim.submit(fmt.Sprintf("a-e%d", i%3), s, 30*time.Second)
				switch {
				case err != nil:
				case r.Outcome == nil || r.Outcome.Result != job.Completed:
					err = fmt.Errorf("%s: no outcome", echo)
				case s.Key == "" && string(r.Output) != echo:
					err = fmt.Errorf("%s got %q", echo, r.Output)
				}
				done <- err
			}()
		}
		for range 48 {
			require.NoError(t, <-done)
		}
	})
}
