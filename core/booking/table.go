package booking

import "time"

// table maps keys to records and forgets a record when its time has come.
type table[V any] struct {
	records map[Key]V
	queue   []due
	head    int
}

type due struct {
	key Key
	at  time.Duration
}

// put stores a record that can be forgotten at the given time; Forever means
// not before it is put again. An item of the
// queue that waits behind a later one is only forgotten later, never earlier.
func (t *table[V]) put(key Key, v V, at time.Duration) {
	if t.records == nil {
		t.records = make(map[Key]V)
	}
	t.records[key] = v
	if at == Forever {
		return
	}
	t.queue = append(t.queue, due{key, at})
}

// expire removes the records that are due and for which final returns true;
// final decides with the record's own time, as a record may be queued twice.
func (t *table[V]) expire(now time.Duration, final func(V) bool) {
	for t.head < len(t.queue) && t.queue[t.head].at <= now {
		key := t.queue[t.head].key
		t.head++
		if v, ok := t.records[key]; ok && final(v) {
			delete(t.records, key)
		}
	}
	if t.head > 64 && t.head > len(t.queue)/2 {
		n := copy(t.queue, t.queue[t.head:])
		t.queue, t.head = t.queue[:n], 0
	}
}
