package intake

import (
	"container/list"
	"sync"
	"time"

	"verbenashift/core/plumbing/heads"
)

const (
	// defaultHeadBytes is the longest head of a request in bytes if the Limits have none.
	defaultHeadBytes = 64 << 10
	// defaultHeadTime is how long a head may take from its first byte until a time is stated.
	defaultHeadTime = 10 * time.Second
	// headSlack is by how much a head may exceed the stated limit, which may leave out the request line.
	headSlack = 4 << 10
	// headTimeFactor is how many times the stated time a head may take: it may be held up on its way.
	headTimeFactor = 2
	// smallHead is the weight up to which a head is counted with its connection.
	smallHead = 16 << 10
	// firstRead is how much of a head is counted with its connection while it is received.
	firstRead = 4 << 10
	// headWait is how long a complete head waits for room.
	headWait = 500 * time.Millisecond
)

// headRoom bounds the memory for the heads of requests on all connections: half of it is for
// those in reception, half for those that are complete, until their requests end.
type headRoom struct {
	mu sync.Mutex
	// limit is the longest head in bytes, before the limit that was stated before it, most the
	// longest that may be stated; timeout is how long a head may take.
	limit, before int
	most          int
	timeout       time.Duration
	stated        bool
	// half is half of the room in bytes.
	half int64
	// received is what heads in reception hold beyond firstRead. growing has the connections of
	// those, the one whose head began to grow first in front.
	received int64
	growing  list.List
	// complete is what complete heads hold. waiters are those that wait for room, in order.
	complete int64
	waiters  list.List
}

// waiter is a head that waits for room.
type waiter struct {
	bytes   int64
	granted chan struct{}
}

// newHeadRoom returns room for heads of at most a number of bytes each. It has a number of bytes, or as
// many as a single head of the greatest weight needs.
func newHeadRoom(bytes int64, most int) *headRoom {
	half := max(bytes/2, heads.MaxWeight(most+headSlack))
	return &headRoom{limit: most, most: most, timeout: defaultHeadTime, half: half}
}

// state states the limits of a head. The length stated before holds as well, since callers may not
// know the new one yet.
func (h *headRoom) state(limit int, timeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if limit > 0 && limit != h.limit {
		if h.stated {
			h.before = h.limit
		}
		h.limit, h.stated = limit, true
	}
	if timeout > 0 {
		h.timeout = headTimeFactor * timeout
	}
}

// limits returns the longest head in bytes and how long it may take.
func (h *headRoom) limits() (bytes int, timeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(h.limit, h.before), h.most) + headSlack, h.timeout
}

// grow makes room for a number of bytes of a head in reception. It returns the connections that are to
// be closed for it, which may be its own.
func (h *headRoom) grow(c *conn, bytes int64) (abandoned []*conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if bytes <= c.reception || c.ended {
		return nil
	}
	if c.growing == nil {
		c.growing = h.growing.PushBack(c)
	}
	h.received += bytes - c.reception
	c.reception = bytes
	for h.received > h.half {
		oldest := h.growing.Front().Value.(*conn)
		h.shrink(oldest)
		abandoned = append(abandoned, oldest)
	}
	return abandoned
}

// endReception returns the room of a head in reception.
func (h *headRoom) endReception(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shrink(c)
}

// shrink does the same. The lock must be held.
func (h *headRoom) shrink(c *conn) {
	if c.growing == nil {
		return
	}
	h.growing.Remove(c.growing)
	c.growing = nil
	h.received -= c.reception
	c.reception = 0
}

// hold makes room for a complete head, until retain or end returns it. It reports false if there is none
// in time, or if the connection has ended.
func (h *headRoom) hold(c *conn, bytes int64) bool {
	if w := h.request(bytes); w != nil && !h.await(w) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.ended {
		h.release(bytes)
		return false
	}
	c.weight += bytes
	return true
}

// request makes room at once, or returns a waiter for it.
func (h *headRoom) request(bytes int64) *list.Element {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiters.Len() == 0 && h.complete+bytes <= h.half {
		h.complete += bytes
		return nil
	}
	return h.waiters.PushBack(&waiter{bytes, make(chan struct{})})
}

// await waits for room, and reports whether there was some in time.
func (h *headRoom) await(e *list.Element) bool {
	granted := e.Value.(*waiter).granted
	timeout := time.NewTimer(headWait)
	defer timeout.Stop()
	select {
	case <-granted:
		return true
	case <-timeout.C:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-granted:
		return true
	default:
	}
	h.waiters.Remove(e)
	h.grant()
	return false
}

// retain returns the room of a complete head but for a number of bytes.
func (h *headRoom) retain(c *conn, bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if bytes >= c.weight {
		return
	}
	h.release(c.weight - bytes)
	c.weight = bytes
}

// end returns all room of a connection, which gets none any more.
func (h *headRoom) end(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shrink(c)
	h.release(c.weight)
	c.weight, c.ended = 0, true
}

// release returns room of complete heads. The lock must be held.
func (h *headRoom) release(bytes int64) {
	h.complete -= bytes
	h.grant()
}

// grant gives room to those who wait, in their order. The lock must be held.
func (h *headRoom) grant() {
	for e := h.waiters.Front(); e != nil; e = h.waiters.Front() {
		w := e.Value.(*waiter)
		if h.complete+w.bytes > h.half {
			return
		}
		h.complete += w.bytes
		h.waiters.Remove(e)
		close(w.granted)
	}
}

// held returns how many bytes all heads hold.
func (h *headRoom) held() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received + h.complete
}
