package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Reply is the answer to a request. Its body must be read to the end or closed.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the answer does not state it.
	Length int64

	pool    *Pool
	conn    *conn
	resp    *http.Response
	written chan error
	stop    func() bool
	done    bool
}

// Read reads the body. io.EOF means that the body is complete by its framing;
// any other error is a *BrokenError.
func (r *Reply) Read(b []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	n, err := r.resp.Body.Read(b)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		r.finish(false)
		return n, &BrokenError{"body", err}
	}
	r.finish(true)
	return n, io.EOF
}

// Close abandons the rest of the body.
func (r *Reply) Close() { r.finish(false) }

// finish returns the connection to the pool if the answer was read completely and no
// other bytes followed it.
func (r *Reply) finish(complete bool) {
	if r.done {
		return
	}
	r.done = true
	stopped := r.stop == nil || r.stop()
	if !complete || !stopped || !r.reusable() {
		r.pool.discard(r.conn)
		return
	}
	r.pool.put(r.conn, idleTime(r.Header))
}

func (r *Reply) reusable() bool {
	if r.resp.Close || r.conn.enlarged || r.conn.br.Buffered() > 0 {
		return false
	}
	if r.Length < 0 && len(r.resp.TransferEncoding) == 0 {
		return false
	}
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		// The server answered before it had read the body: what is left of it
		// would be taken for the next request.
		return false
	}
}

// idleTime returns how long a connection may wait for the next request.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil {
			return min(max(time.Duration(s)*time.Second-idleMargin, idleMargin/2), defaultIdle)
		}
	}
	return defaultIdle
}
