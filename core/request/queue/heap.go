package queue

// indexedHeap is a binary heap whose members know their index, so that any of them can be moved
// or removed in O(log n). It allocates only to grow.
type indexedHeap[T any] struct {
	members []T
	before  func(a, b T) bool
	// index returns where a member stores its index; -1 means not in the heap.
	index func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.members) }

func (h *indexedHeap[T]) push(m T) {
	*h.index(m) = len(h.members)
	h.members = append(h.members, m)
	h.up(len(h.members) - 1)
}

func (h *indexedHeap[T]) remove(m T) {
	i := *h.index(m)
	if i < 0 {
		return
	}
	last := len(h.members) - 1
	h.swap(i, last)
	var zero T
	h.members[last] = zero
	h.members = h.members[:last]
	*h.index(m) = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// fix restores the order after the key of m has changed.
func (h *indexedHeap[T]) fix(m T) {
	i := *h.index(m)
	if i < 0 {
		return
	}
	h.down(i)
	h.up(*h.index(m))
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.members[i], h.members[j] = h.members[j], h.members[i]
	*h.index(h.members[i]) = i
	*h.index(h.members[j]) = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.members[i], h.members[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.members) {
			return
		}
		if right := child + 1; right < len(h.members) && h.before(h.members[right], h.members[child]) {
			child = right
		}
		if !h.before(h.members[child], h.members[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
