package arbiter

import "container/heap"

// heapItem is an item that knows its order and its place in an indexHeap. The
// place is the index plus one; zero means outside.
type heapItem[T any] interface {
	before(other T) bool
	position() *int
}

// indexHeap is a heap whose items can be moved and removed.
type indexHeap[T heapItem[T]] struct{ items heapItems[T] }

func (h *indexHeap[T]) len() int { return len(h.items) }

func (h *indexHeap[T]) first() T { return h.items[0] }

func (h *indexHeap[T]) push(item T) { heap.Push(&h.items, item) }

// fix restores the order after the item changed.
func (h *indexHeap[T]) fix(item T) {
	if i := *item.position(); i > 0 {
		heap.Fix(&h.items, i-1)
	}
}

// remove takes the item out if it is inside.
func (h *indexHeap[T]) remove(item T) {
	if i := *item.position(); i > 0 {
		heap.Remove(&h.items, i-1)
	}
}

type heapItems[T heapItem[T]] []T

func (h heapItems[T]) Len() int { return len(h) }

func (h heapItems[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h heapItems[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].position() = i + 1
	*h[j].position() = j + 1
}

// Push implements heap.Interface.
func (h *heapItems[T]) Push(x any) {
	item := x.(T)
	*h = append(*h, item)
	*item.position() = len(*h)
}

// Pop implements heap.Interface.
func (h *heapItems[T]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	var zero T
	old[last] = zero
	*h = old[:last]
	*item.position() = 0
	return item
}
