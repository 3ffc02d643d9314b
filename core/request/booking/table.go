package booking

import "time"

// table maps keys to records, each with an expiry time.
type table[V any] struct {
	records map[Key]V
	// queue is a min-heap by time. A key may be in it more than once; the record's own time
	// decides.
	queue []expiry
}

type expiry struct {
	at  time.Duration
	key Key
}

// put stores a record that expire visits at the given time.
func (t *table[V]) put(key Key, v V, at time.Duration) {
	if t.records == nil {
		t.records = make(map[Key]V)
	}
	t.records[key] = v
	t.queue = append(t.queue, expiry{at, key})
	for i := len(t.queue) - 1; i > 0; {
		parent := (i - 1) / 2
		if t.queue[parent].at <= t.queue[i].at {
			return
		}
		t.queue[parent], t.queue[i] = t.queue[i], t.queue[parent]
		i = parent
	}
}

// expire visits the records that are due and removes those for which final
// returns true.
func (t *table[V]) expire(now time.Duration, final func(Key, V) bool) {
	for len(t.queue) > 0 && t.queue[0].at <= now {
		key := t.queue[0].key
		t.pop()
		if v, ok := t.records[key]; ok && final(key, v) {
			delete(t.records, key)
		}
	}
}

func (t *table[V]) pop() {
	last := len(t.queue) - 1
	t.queue[0] = t.queue[last]
	t.queue = t.queue[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return
		}
		if right := child + 1; right < last && t.queue[right].at < t.queue[child].at {
			child = right
		}
		if t.queue[i].at <= t.queue[child].at {
			return
		}
		t.queue[i], t.queue[child] = t.queue[child], t.queue[i]
		i = child
	}
}
