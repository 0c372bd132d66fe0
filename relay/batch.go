package relay

import (
	"sync"
	"time"
)

const (
	// batchGap is how long a batch collects. A frame costs about as much
	// processor time as ten of its orders, and runs last hundreds of milliseconds.
	batchGap = 10 * time.Millisecond
	// maxBatchWeight bounds a frame: 8,192 times about 100 bytes is a fifth of
	// what a peer link carries in one.
	maxBatchWeight = 8192
)

// weighed is an item whose size is known roughly.
type weighed interface{ weight() int }

// batcher collects items for batchGap and sends them together.
type batcher[T weighed] struct {
	send func([]T)

	mu    sync.Mutex
	items []T
	armed bool
}

func newBatcher[T weighed](send func([]T)) *batcher[T] { return &batcher[T]{send: send} }

func (b *batcher[T]) add(item T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, item)
	if !b.armed {
		b.armed = true
		time.AfterFunc(batchGap, b.flush)
	}
}

func (b *batcher[T]) flush() {
	b.mu.Lock()
	items := b.items
	b.items, b.armed = nil, false
	b.mu.Unlock()
	for len(items) > 0 {
		n := fitting(items)
		b.send(items[:n])
		items = items[n:]
	}
}

// fitting returns how many items, at least one, fit into a frame.
func fitting[T weighed](items []T) int {
	sum := 0
	for i, item := range items {
		if sum += item.weight(); sum > maxBatchWeight && i > 0 {
			return i
		}
	}
	return len(items)
}
