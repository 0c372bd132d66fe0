package relay

import (
	"sync"
	"time"
)

const (
	// batchInterval is how long items are collected before they are sent. A frame
	// costs about as much processor time as ten of its orders; the added latency
	// is small against runs, which last hundreds of milliseconds.
	batchInterval = 10 * time.Millisecond
	// maxBatchWeight is the maximum weight of a frame. 8,192 units of about 100
	// bytes are a fifth of the maximum frame size of a peer link.
	maxBatchWeight = 8192
)

// weighted is an item with an approximate size in units of 100 bytes.
type weighted interface{ weight() int }

// batcher collects items for batchInterval and sends them together.
type batcher[T weighted] struct {
	send func([]T)

	mu        sync.Mutex
	items     []T
	scheduled bool
}

func newBatcher[T weighted](send func([]T)) *batcher[T] { return &batcher[T]{send: send} }

func (b *batcher[T]) add(item T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, item)
	if !b.scheduled {
		b.scheduled = true
		time.AfterFunc(batchInterval, b.flush)
	}
}

func (b *batcher[T]) flush() {
	b.mu.Lock()
	items := b.items
	b.items, b.scheduled = nil, false
	b.mu.Unlock()
	for len(items) > 0 {
		n := countPerFrame(items)
		b.send(items[:n])
		items = items[n:]
	}
}

// countPerFrame returns how many of the items fit into one frame, at least one.
func countPerFrame[T weighted](items []T) int {
	sum := 0
	for i, item := range items {
		if sum += item.weight(); sum > maxBatchWeight && i > 0 {
			return i
		}
	}
	return len(items)
}
