package peer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/plumbing/buffers"
)

// Guards against memory for the messages of all peers together, and against a message that is handled in
// part.
func TestBoundMessages(t *testing.T) {
	is := is.New(t)
	room := buffers.NewPool(64<<10, time.Millisecond)
	var handled []string
	h := BoundMessages(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.True(room.Held() >= int64(len(body)))
		handled = append(handled, string(body))
	}), room)
	send := func(body io.Reader) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", body))
		return w.Code
	}
	is.Equal(send(strings.NewReader("message")), http.StatusOK)
	is.Equal(send(strings.NewReader(strings.Repeat("x", 60<<10))), http.StatusServiceUnavailable)
	is.Equal(send(io.LimitReader(endless{}, maxMessage+1<<10)), http.StatusServiceUnavailable)
	long := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(""))
	long.ContentLength = maxMessage + 1<<10
	w := httptest.NewRecorder()
	h.ServeHTTP(w, long)
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
	is.Equal(len(handled), 1)
	is.Equal(handled[0], "message")
	is.Equal(room.Held(), int64(0))
}

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
