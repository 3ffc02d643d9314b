package main

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"verbenashift/platform"
)

const (
	// stallLimit is how long a caller may take to read the next part of its answer before its
	// connection is closed. One that reads slowly but steadily is served to the end.
	stallLimit = 10 * time.Second
	// deliveryPart is how many bytes of an answer are written at a time.
	deliveryPart = 32 << 10
)

// readBody reads the body of the request, until the deadline of the request.
func (c *call) readBody(limit int64) error {
	conn := http.NewResponseController(c.w)
	if err := conn.SetReadDeadline(c.deadline); err != nil {
		return err
	}
	var err error
	if c.body, err = io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit)); err != nil {
		return err
	}
	// The server reads on to notice that the caller disconnects.
	return conn.SetReadDeadline(time.Time{})
}

// rejectBody answers a request whose body could not be read.
func (c *call) rejectBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.respond(http.StatusRequestEntityTooLarge, "body too large", 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		metricStalled.Add(1)
		c.w.Header().Set("Connection", "close")
		c.refuse("body too slow", 0)
	default:
		c.logOutcome("outcome", "caller-left", "error", "body not read: "+err.Error())
		panic(http.ErrAbortHandler)
	}
}

// deliver sends the caller the complete answer of a server, if there is one.
func (c *call) deliver() {
	a := c.answer
	if a == nil {
		return
	}
	platform.CopyAnswerHeaders(c.w.Header(), a.header)
	c.extendDeadline()
	c.w.WriteHeader(a.status)
	if err := c.write(a.body); err != nil {
		c.writeFailed(err)
		return
	}
	c.completed(a.status)
}

// write sends the caller a part of its answer, in small parts so that the deadline applies to the
// time without progress.
func (c *call) write(b []byte) error {
	for len(b) > 0 {
		c.extendDeadline()
		n, err := c.w.Write(b[:min(len(b), deliveryPart)])
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// extendDeadline moves the deadline for writing, at most a few times in stallLimit, since each move
// needs a timer.
func (c *call) extendDeadline() {
	now := time.Now()
	if now.Sub(c.extendedAt) < c.stallLimit/4 {
		return
	}
	c.extendedAt = now
	_ = http.NewResponseController(c.w).SetWriteDeadline(now.Add(c.stallLimit)) // A closed connection fails the write.
}

// writeFailed logs that the answer could not be written to the caller.
func (c *call) writeFailed(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		metricStalled.Add(1)
	}
	c.logOutcome("outcome", "caller-left", "error", err.Error())
}
