package plain_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"verbenashift/standin/ledger"
	"verbenashift/standin/plain"
)

func call(h http.Handler, workspace, method, path, body string) (status int, answer string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Workspace", workspace)
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status, answer = 0, "dropped"
		}
	}()
	h.ServeHTTP(w, r)
	return w.Code, strings.TrimSpace(w.Body.String())
}

// A booking runs, its response is lost and the caller books again. The second run
// must show in the ledger and in its response; otherwise no proof could detect a
// double booking.
func TestPlain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, _ := ledger.Open("")
		h := plain.New(plain.Config{Work: 1}, l).Handler()
		const slot = `{"chapel":"erie","slot":"noon"}`
		for _, c := range []struct {
			workspace, method, path, body string
			status                        int
			answer                        string
		}{
			{"a", "POST", "/faults", `{"lose-answers":1}`, 204, ""},
			{"a", "POST", "/bookings", slot, 0, "dropped"},
			{"b", "POST", "/bookings", slot, 409, `{"error":"slot-taken"}`},
			{"a", "POST", "/bookings", `{"chapel":"erie","slot":"one"}`, 201, `{"chapel":"erie","slot":"one","booking":"44582448001b4358"}`},
			{"a", "GET", "/visitations/f%201", "", 200, `{"id":"f 1","place":"chapel-3b6abec1"}`},
			{"b", "GET", "/visitations/f%201", "", 200, `{"id":"f 1","place":"chapel-3b6abec1"}`},
			{"a", "POST", "/faults", `{"refuse":true}`, 204, ""},
			{"a", "POST", "/jobs", "{}", 503, `{"error":"refused"}`},
		} {
			status, answer := call(h, c.workspace, c.method, c.path, c.body)
			is.Equal(status, c.status)
			is.Equal(answer, c.answer)
		}
		report := l.Report()
		is.Equal([]int{len(report.Runs), report.Conflicts, report.Refused}, []int{5, 1, 1})
		is.Equal(report.Runs[0].Status, http.StatusCreated)
	})
}
