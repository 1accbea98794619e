package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A request that arrived before the drain is answered during it. Its connection must not be
// kept: the server closes idle connections at the end of the drain, and a request sent over
// one at that moment would be lost.
func TestResponseDuringDrainClosesConnection(t *testing.T) {
	for _, c := range []struct {
		name           string
		before, during bool
		want           string
	}{
		{"no drain", false, false, ""},
		{"drain before the request", true, true, "close"},
		{"drain before the response", false, true, "close"},
	} {
		for _, explicit := range []bool{false, true} {
			h := &Host{}
			h.init()
			setDraining := func(draining bool) {
				v := h.View()
				v.Draining = draining
				h.view.Store(&v)
			}
			setDraining(c.before)
			w := httptest.NewRecorder()
			h.closeWhenDraining(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				setDraining(c.during)
				if explicit {
					w.WriteHeader(http.StatusAccepted)
				}
				_, err := w.Write([]byte("{}"))
				assert.NoError(t, err)
			})).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", nil))
			assert.Equal(t, c.want, w.Header().Get("Connection"), "%s, explicit header %t", c.name, explicit)
		}
	}
}
