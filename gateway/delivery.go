package main

import (
	"errors"
	"net/http"
	"os"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/platform"
)

const (
	// stallLimit is how long a caller may take to read the next part of its answer before its
	// connection is closed. One that reads slowly but steadily is served to the end.
	stallLimit = 10 * time.Second
	// deliveryPart is how many bytes of an answer are written at a time.
	deliveryPart = 32 << 10
	// bufferShare is the part of the memory for bodies of requests, and as much is for answers.
	bufferShare = 1.0 / 8
	// roomWait is how long a body waits for room: another gateway may have some.
	roomWait = 500 * time.Millisecond
	// reservedAnswer is for how many bytes of an answer there must be room before a request is sent.
	reservedAnswer = 4 << 10
	// reasonNoRoom is the reason of a refusal when there is no room for the body of the request or
	// of its answer.
	reasonNoRoom = "no room for the body"
)

// newBuffers returns a pool for bodies, given the memory at which the process is killed; 0 means
// unknown.
func newBuffers(memoryBytes int64) *buffers.Pool {
	if memoryBytes <= 0 {
		return nil
	}
	return buffers.NewPool(max(int64(bufferShare*float64(memoryBytes)), 4*maxAnswer), roomWait)
}

// readBody reads the body of the request, until the deadline of the request. Without a body the server
// reads on already, to notice that the caller disconnects, and would take the deadline for that.
func (c *call) readBody(limit int64) error {
	if c.r.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(c.w)
	if err := conn.SetReadDeadline(c.deadline); err != nil {
		return err
	}
	var err error
	if c.body, err = c.bodies.Read(c.r.Context(), http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, limit); err != nil {
		return err
	}
	c.r.Trailer = nil // It is not forwarded.
	// The server would take it for a caller that has disconnected.
	return conn.SetReadDeadline(time.Time{})
}

// reserveAnswer reserves room for the answer: what was answered and cannot be passed on is lost.
func (c *call) reserveAnswer() (err error) {
	if c.route.Kind != deployment.Stream {
		c.reserved, err = c.answers.Reserve(c.r.Context(), reservedAnswer)
	}
	return err
}

// rejectBody answers a request whose body could not be read.
func (c *call) rejectBody(err error) {
	var (
		tooLarge *http.MaxBytesError
		tooLong  *buffers.TooLongError
		full     *buffers.FullError
	)
	c.w.Header().Set("Connection", "close") // The rest of the body is not read.
	switch {
	case errors.As(err, &tooLarge), errors.As(err, &tooLong):
		c.respond(http.StatusRequestEntityTooLarge, "body too large", 0)
	case errors.As(err, &full):
		c.refuse(reasonNoRoom, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		metricStalled.Add(1)
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
	c.body.Release()
	platform.CopyAnswerHeaders(c.w.Header(), a.header)
	c.extendDeadline()
	c.w.WriteHeader(a.status)
	if err := c.write(a.body.Bytes()); err != nil {
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
