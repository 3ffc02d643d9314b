package fleet

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
)

// unframedOneIn is how many answers there are for each one that has neither a length nor chunks and
// ends with its connection.
const unframedOneIn = 8

// unframedWriter writes such an answer.
type unframedWriter struct {
	http.ResponseWriter
	conn  net.Conn
	wrote bool
}

// unframe returns a writer for the answer to a request, which is unframed for some requests, and a
// function that ends the answer: it must be deferred, and resets the connection if the handler panics.
func unframe(w http.ResponseWriter, r *http.Request) (http.ResponseWriter, func()) {
	h := fnv.New32a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(r.Header.Get("X-Request-Id")))
	if h.Sum32()%unframedOneIn != 0 || causeOf(r, nil) != "" {
		return w, func() {}
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return w, func() {}
	}
	u := &unframedWriter{ResponseWriter: w, conn: conn}
	return u, func() {
		v := recover()
		if v == nil {
			u.WriteHeader(http.StatusOK) // An answer without a body has a head as well.
		}
		if tcp, ok := conn.(*net.TCPConn); ok && v != nil {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close() // The peer sees the end of the connection in any case.
		if v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}
}

// WriteHeader writes the head of the answer.
func (u *unframedWriter) WriteHeader(status int) {
	if u.wrote {
		return
	}
	u.wrote = true
	u.Header().Set("Connection", "close")
	fmt.Fprintf(u.conn, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = u.Header().Write(u.conn) // Then the body fails to be written as well.
	fmt.Fprint(u.conn, "\r\n")
}

// Write writes a part of the body.
func (u *unframedWriter) Write(b []byte) (int, error) {
	u.WriteHeader(http.StatusOK)
	return u.conn.Write(b)
}

// Flush does nothing: there is no buffer.
func (u *unframedWriter) Flush() {}

// Unwrap returns nil, so that nothing reaches the writer whose connection was taken.
func (u *unframedWriter) Unwrap() http.ResponseWriter { return nil }
