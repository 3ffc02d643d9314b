package main

import (
	"net/http"

	"verbenashift/platform"
)

// sealedWriter passes on a success only if a server has given it, whatever ends a request: net/http takes
// a handler that has written nothing, or no status, for one that has succeeded.
type sealedWriter struct {
	http.ResponseWriter
	// answered is set once a final status was written.
	answered bool
}

// serveSealed serves a request with next. A request that it does not answer ends with its connection.
func serveSealed(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	s := &sealedWriter{ResponseWriter: w}
	next(s, r)
	if !s.answered {
		panic(http.ErrAbortHandler)
	}
}

// WriteHeader writes a status. A success without a server's signature aborts the connection.
func (s *sealedWriter) WriteHeader(status int) {
	if status >= http.StatusOK && status < http.StatusMultipleChoices && !platform.IsSealed(s.Header()) {
		panic(http.ErrAbortHandler)
	}
	s.answered = s.answered || status >= http.StatusOK
	s.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (s *sealedWriter) Write(b []byte) (int, error) {
	if !s.answered {
		s.WriteHeader(http.StatusOK)
	}
	return s.ResponseWriter.Write(b)
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (s *sealedWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }
