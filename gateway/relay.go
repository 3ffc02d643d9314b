package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"verbenashift/core/request/retry"
	"verbenashift/gateway/upstream"
	"verbenashift/platform"
)

// streamBuffer is how much of a stream is read at once.
const streamBuffer = 4 << 10

// relay passes a stream on, event by event. The head is sent with the first
// event, so that a stream that breaks off earlier can be refused or sent elsewhere.
func (c *call) relay(ctx context.Context, s activeAttempt, reply *upstream.Reply) (retry.Kind, string, bool) {
	var ev events
	room := c.answers.Buffer()
	defer room.Release()
	room.Receive(c.abandon)
	buf := make([]byte, streamBuffer)
	first := true
	for {
		n, err := reply.Read(buf)
		if size := ev.size(n); size > eventsBuffer {
			if err := room.Extend(ctx, size); err != nil {
				return retry.Broken, err.Error(), false
			}
		}
		ev.add(buf[:n])
		room.Progress()
		for event := ev.next(); event != nil; event = ev.next() {
			if c.stream != nil {
				c.fleet.event(c.stream, time.Now())
			}
			if first {
				c.fleet.succeeded(s, time.Since(s.started), time.Now())
				first = false
			}
			if !c.sendEvent(reply, event) {
				return 0, "", true
			}
			if c.stream != nil {
				c.fleet.passedOn(c.stream, time.Now())
			}
		}
		if err == nil && ev.tooLong() {
			c.countTooLong(s, &upstream.TooLongError{Part: partEvent, Read: ev.unfinished(), Limit: maxEvent})
			return c.attemptFailed(ctx, s, errEventTooLong)
		}
		if err == nil {
			if ev.shrink() {
				room.Release()
				room.Receive(c.abandon)
			}
			continue
		}
		if err == io.EOF && !ev.partial() {
			c.begin(reply)
			c.answeredCompletely(reply.Status)
			c.completed(reply.Status)
			return 0, "", true
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return c.attemptFailed(ctx, s, err)
	}
}

// begin sends the head of a stream once: a stream that is resumed at another
// server keeps the head of the first one.
func (c *call) begin(reply *upstream.Reply) {
	if c.begun {
		return
	}
	c.begun = true
	c.sentHead = c.takeHead()
	platform.CopyAnswerHeaders(c.w.Header(), reply.Header)
	c.w.WriteHeader(reply.Status)
}

// sendEvent passes one event on, unless it was sent before. It reports false if the caller
// has disconnected.
func (c *call) sendEvent(reply *upstream.Reply, event []byte) bool {
	id := eventID(event)
	if id >= 0 && id <= c.lastID {
		return true
	}
	c.begin(reply)
	if err := c.write(event); err != nil {
		c.writeFailed(err)
		return false
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.writeFailed(err)
		return false
	}
	c.timeEvent(time.Now())
	if id >= 0 {
		c.lastID = id
		c.lastEvent = formatID(id)
	}
	return true
}

// timeEvent records when an event was passed on.
func (c *call) timeEvent(now time.Time) {
	if c.eventAt.IsZero() {
		c.firstAfter = now.Sub(c.arrived)
		metricFirst.Record(c.firstAfter.Milliseconds())
		if c.admitter != nil {
			c.admitter.observeFirstEvent(c.slot, c.firstAfter-c.queued)
		}
	} else {
		pause := now.Sub(c.eventAt)
		c.longestPause = max(c.longestPause, pause)
		metricGap.Record(pause.Milliseconds())
		if c.admitter != nil {
			c.admitter.observePause(c.slot, pause)
		}
	}
	c.eventAt = now
}
