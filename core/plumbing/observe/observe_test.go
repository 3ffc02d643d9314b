package observe

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRoutes(t *testing.T) {
	reason := "draining"
	h := Routes(Source{
		Unready:   func() string { return reason },
		Revisions: func() Revisions { return Revisions{Revision: 7, History: []uint64{3, 7}} },
	})
	get := func(path string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code, strings.TrimSpace(w.Body.String())
	}
	is := is.New(t)
	status, body := get("/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, "draining")
	reason = ""
	status, _ = get("/readyz")
	is.Equal(status, http.StatusOK)
	status, _ = get("/healthz")
	is.Equal(status, http.StatusOK)
	_, body = get("/revisions")
	is.Equal(body, `{"revision":7,"history":[3,7]}`)
	_, body = get("/debug/vars")
	is.True(strings.Contains(body, "memstats"))
}
