package main

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/platform"
	"verbenashift/standin/scripted"
)

// Guards against a caller that gets a success which no server gave, whatever ends its request.
func TestNoSuccessWithoutAServer(t *testing.T) {
	seal := func(w http.ResponseWriter) { scripted.Sign(w.Header(), "r1") }
	for name, tt := range map[string]struct {
		handle http.HandlerFunc
		// status is 0 if the connection ends without an answer.
		status int
	}{
		"nothing":            {func(http.ResponseWriter, *http.Request) {}, 0},
		"header only":        {func(w http.ResponseWriter, _ *http.Request) { seal(w) }, 0},
		"panic":              {func(http.ResponseWriter, *http.Request) { panic("fault") }, 0},
		"body only":          {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, 0},
		"success":            {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, 0},
		"empty success":      {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, 0},
		"information only":   {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusEarlyHints) }, 0},
		"refusal":            {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(platform.StatusNotRun) }, platform.StatusNotRun},
		"a server's success": {func(w http.ResponseWriter, _ *http.Request) { seal(w); w.WriteHeader(http.StatusCreated) }, http.StatusCreated},
		"a server's body":    {func(w http.ResponseWriter, _ *http.Request) { seal(w); _, _ = io.WriteString(w, "x") }, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveSealed(w, r, tt.handle) }))
			s.Config.ErrorLog = log.New(io.Discard, "", 0) // One of them panics.
			s.Start()
			defer s.Close()
			resp, err := http.Get(s.URL)
			is.Equal(err == nil, tt.status != 0)
			if err == nil {
				defer resp.Body.Close()
				is.Equal(resp.StatusCode, tt.status)
			}
		})
	}
}

// Guards against callers who are taken for ones that have left, and told of a success, because their
// route's timeout has passed when their request is read.
func TestTimeoutBeforeTheRequestIsRead(t *testing.T) {
	for name, body := range map[string]string{"body": rigBody, "no body": ""} {
		for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe, deployment.Stream} {
			t.Run(name+" "+string(kind), func(t *testing.T) {
				is := is.New(t)
				s := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
				rt := routeOf(kind)
				rt.Timeout = time.Nanosecond
				r := newRig(t, rt, s)
				for range 50 {
					c := r.call()
					c.Body = body
					is.Equal(c.Do(t.Context()).Status, platform.StatusNotRun)
				}
				is.Equal(total(s), 0)
			})
		}
	}
}

// Guards against a success for a caller that closes its sending side only, while its request waits.
func TestHalfClosedCaller(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	s := scripted.Serve(t, func(x *scripted.Exchange) {
		<-hold
		x.Respond(200, "ok")
	})
	r := newRig(t, routeOf(deployment.Safe), s)
	c, err := net.Dial("tcp", r.front)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /a/item HTTP/1.1\r\nHost: "+rigHost+"\r\nAuthorization: Token "+rigKey+"\r\nX-Request-Id: r1\r\n\r\n")
	is.NoErr(err)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "")
	close(hold)
}

// deadlineRecorder records the deadlines that are set on a connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

// SetReadDeadline records a deadline.
func (d *deadlineRecorder) SetReadDeadline(at time.Time) error {
	d.deadlines = append(d.deadlines, at)
	return nil
}

// Guards against a deadline on a connection that is read already to notice that the caller disconnects:
// once it has passed, the caller counts as disconnected.
func TestNoReadDeadlineWithoutABody(t *testing.T) {
	for body, want := range map[string]int{"": 0, "text": 2} {
		is := is.New(t)
		r := newRig(t, routeOf(deployment.Safe))
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		c := newCall(r.gateway, w, httptest.NewRequest(http.MethodPost, "/a/item", strings.NewReader(body)))
		c.deadline = time.Now().Add(-time.Second)
		is.NoErr(c.readBody(100))
		is.Equal(string(c.body.Bytes()), body)
		is.Equal(len(w.deadlines), want)
		if want > 0 {
			is.True(w.deadlines[want-1].IsZero()) // It ends with the body.
		}
		c.releaseBuffers()
	}
}
