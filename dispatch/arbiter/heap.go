package arbiter

import "container/heap"

// heapItem is an element of an indexHeap. It stores its own position, which is
// its index plus one, or zero if it is in no heap.
type heapItem[T any] interface {
	before(other T) bool
	heapPosition() *int
}

// indexHeap is a heap whose items can be reordered and removed in place.
type indexHeap[T heapItem[T]] struct{ items heapItems[T] }

func (h *indexHeap[T]) len() int { return len(h.items) }

func (h *indexHeap[T]) first() T { return h.items[0] }

func (h *indexHeap[T]) push(item T) { heap.Push(&h.items, item) }

// fix restores the heap order after the item has changed.
func (h *indexHeap[T]) fix(item T) {
	if i := *item.heapPosition(); i > 0 {
		heap.Fix(&h.items, i-1)
	}
}

// remove removes the item if it is in the heap.
func (h *indexHeap[T]) remove(item T) {
	if i := *item.heapPosition(); i > 0 {
		heap.Remove(&h.items, i-1)
	}
}

type heapItems[T heapItem[T]] []T

func (h heapItems[T]) Len() int { return len(h) }

func (h heapItems[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h heapItems[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].heapPosition() = i + 1
	*h[j].heapPosition() = j + 1
}

// Push implements heap.Interface.
func (h *heapItems[T]) Push(x any) {
	item := x.(T)
	*h = append(*h, item)
	*item.heapPosition() = len(*h)
}

// Pop implements heap.Interface.
func (h *heapItems[T]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	var zero T
	old[last] = zero
	*h = old[:last]
	*item.heapPosition() = 0
	return item
}
