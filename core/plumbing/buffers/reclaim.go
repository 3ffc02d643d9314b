package buffers

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sweepsInWait is how often room is taken back in the time that a body waits for some.
	sweepsInWait = 100
	// yieldPart is the part of that time, one in so many, after which a buffer that gets no bytes yields to
	// smaller ones, and one that waits takes room from those that wait after it.
	yieldPart = 10
	// preemptPart is that after which a body that waits takes room from larger ones that do get bytes.
	preemptPart = 2
	// stalledQuarters is the part, in quarters, after which a buffer that gets no bytes yields to any.
	stalledQuarters = 3
)

// reception is the state of a buffer that is received, until it is complete. The lock of the pool guards
// it.
type reception struct {
	// abandon ends the reception; nil if the buffer is not received, or never taken back.
	abandon func(error)
	// waiting is set while the buffer waits for room.
	waiting bool
	// reclaimed is set once it was taken back.
	reclaimed bool
}

// Receive says that the buffer is received from a sender that may be slow or never end, until Read or
// Complete ends that. If its room beyond what was reserved is taken back for others, abandon is called
// with a *ReclaimedError: it must make the reader end and Release be called.
func (b *Buffer) Receive(abandon func(error)) {
	p := b.pool
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b.reception = reception{abandon: abandon}
	b.Progress()
	p.receiving[b] = struct{}{}
}

// Progress says that bytes of the body have been received. Read does so itself.
func (b *Buffer) Progress() { b.progress.Store(time.Now().UnixNano()) }

// Complete says that the buffer has been received to its end: it is not taken back any more.
func (b *Buffer) Complete() {
	if b == nil || b.pool == nil {
		return
	}
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.pool.endReception(b)
}

// endReception ends the reception of a buffer. The lock must be held.
func (p *Pool) endReception(b *Buffer) {
	delete(p.receiving, b)
	if b.reclaimed {
		for part := range p.rooms {
			p.rooms[part].reclaiming -= b.heldOf(part)
		}
	}
	b.reception = reception{}
}

// startSweeps takes back room for those who wait for it, now and as long as there are any.
func (p *Pool) startSweeps(part int) {
	p.mu.Lock()
	due := p.rooms[part].sweeping
	p.rooms[part].sweeping = true
	p.mu.Unlock()
	if !due {
		p.sweep(part)
	}
}

// sweep takes back room for those who wait for it, and schedules the next sweep if there are any.
func (p *Pool) sweep(part int) {
	victims, again := p.chooseVictims(part, time.Now())
	if again {
		time.AfterFunc(p.wait/sweepsInWait, func() { p.sweep(part) })
	}
	for _, v := range victims {
		v.abandon(&ReclaimedError{v.bytes})
	}
}

// victim is a buffer that was taken back.
type victim struct {
	abandon func(error)
	bytes   int64
}

// chooseVictims takes back buffers for those who wait, and reports whether there were any.
func (p *Pool) chooseVictims(part int, now time.Time) (all []victim, waited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.rooms[part]
	if r.sweeping = len(r.waiters) > 0; !r.sweeping {
		return nil, false
	}
	from := p.candidates(part)
	missing := r.used - r.reclaiming - r.size
	for _, w := range r.waiters {
		missing += w.bytes
		w.blocked = false
		for missing > 0 && !w.blocked {
			b := p.nextVictim(from, w, part, now)
			if b == nil {
				w.blocked = true
				missing -= w.bytes
				continue
			}
			missing -= b.heldOf(part)
			p.markReclaimed(b)
			all = append(all, victim{b.abandon, b.held})
		}
	}
	p.grantWaiting(part)
	return all, true
}

// markReclaimed records that a buffer was taken back. The lock must be held.
func (p *Pool) markReclaimed(b *Buffer) {
	b.reclaimed = true
	p.reclaimed++
	for part := range p.rooms {
		p.rooms[part].reclaiming += b.heldOf(part)
	}
}

// candidates returns the buffers that may be taken back for room for a part, those first that have got no
// bytes for longest. The lock must be held.
func (p *Pool) candidates(part int) (all []candidate) {
	for b := range p.receiving {
		if b.mayYield(part) {
			all = append(all, candidate{b, b.progress.Load()})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.progress, b.progress), cmp.Compare(b.held, a.held))
	})
	return all
}

// mayYield reports whether the buffer may be taken back for room for a part. The lock must be held.
func (b *Buffer) mayYield(part int) bool {
	return b.abandon != nil && !b.reclaimed && b.held > b.reserved && b.heldOf(part) > 0
}

// candidate is a buffer that may be taken back, with its progress.
type candidate struct {
	*Buffer
	progress int64
}

// nextVictim returns the next buffer to take back for one that waits, or nil. The lock must be held.
func (p *Pool) nextVictim(from []candidate, w *waiter, part int, now time.Time) *Buffer {
	if b := p.slow(from, max(w.size, w.bytes), now); b != nil {
		return b
	}
	waited := now.Sub(w.since)
	if w.buffer.abandon == nil || waited < p.wait/yieldPart {
		return nil
	}
	if b := lastAfter(p.rooms[part].waiters, w, part); b != nil || waited < p.wait/preemptPart {
		return b
	}
	return largest(from, w.size, func(*Buffer) bool { return true })
}

// slow returns a buffer that gets no bytes although it has room, or nil: the largest one of those that are
// larger than a size, else the one that has got none for longest if that is for very long.
func (p *Pool) slow(from []candidate, size int64, now time.Time) *Buffer {
	since := now.Add(-p.wait / yieldPart).UnixNano()
	if b := largest(from, size, func(b *Buffer) bool { return !b.waiting && b.progress.Load() < since }); b != nil {
		return b
	}
	since = now.Add(-p.wait * stalledQuarters / 4).UnixNano()
	for _, b := range from {
		if !b.reclaimed && !b.waiting && b.progress < since {
			return b.Buffer
		}
	}
	return nil
}

// lastAfter returns the last buffer that waits after another one and holds some of the room that this one
// waits for, or nil. Otherwise all of them could hold what the others wait for.
func lastAfter(waiters []*waiter, w *waiter, part int) *Buffer {
	for _, after := range slices.Backward(waiters) {
		b := after.buffer
		switch {
		case after == w:
			return nil
		case b.mayYield(part):
			return b
		}
	}
	return nil
}

// largest returns the largest buffer of those that may yield and are larger than a size, or nil.
func largest(from []candidate, size int64, yields func(*Buffer) bool) (found *Buffer) {
	for _, b := range from {
		if !b.reclaimed && b.held > size && yields(b.Buffer) {
			found, size = b.Buffer, b.held
		}
	}
	return found
}
