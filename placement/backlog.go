package placement

// Backlog holds waiting tasks of one team and class in order of submission.
// Cancelling costs constant time for each task, so that waves of cancels are
// cheap. It is not safe for concurrent use.
type Backlog struct {
	tasks     []Task
	cancelled map[string]struct{}
	// waiting holds the ids that stand in tasks and are not cancelled.
	waiting map[string]struct{}
}

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog {
	return &Backlog{cancelled: map[string]struct{}{}, waiting: map[string]struct{}{}}
}

// Push appends the task. It returns false if its id is waiting already.
func (b *Backlog) Push(t Task) bool {
	if _, ok := b.waiting[t.ID]; ok {
		return false
	}
	if _, ok := b.cancelled[t.ID]; ok {
		// The cancelled task with this id must not come back to life.
		b.compact()
	}
	b.waiting[t.ID] = struct{}{}
	b.tasks = append(b.tasks, t)
	return true
}

// Cancel removes the task with the id. It returns false if none is waiting,
// as after an earlier cancel.
func (b *Backlog) Cancel(id string) bool {
	if _, ok := b.waiting[id]; !ok {
		return false
	}
	delete(b.waiting, id)
	b.cancelled[id] = struct{}{}
	if 2*len(b.cancelled) > len(b.tasks) {
		b.compact()
	}
	return true
}

// Len returns the number of waiting tasks.
func (b *Backlog) Len() int { return len(b.waiting) }

// Head returns up to n waiting tasks, first submitted first. The result is
// valid until the next call of a method.
func (b *Backlog) Head(n int) []Task {
	for at := range min(n, len(b.tasks)) {
		if _, gone := b.cancelled[b.tasks[at].ID]; gone {
			b.compact()
			break
		}
	}
	return b.tasks[:min(n, len(b.tasks))]
}

// Remove takes a task out that was started. It is cheap for tasks near the head.
func (b *Backlog) Remove(id string) {
	if _, ok := b.waiting[id]; !ok {
		return
	}
	delete(b.waiting, id)
	for n := range b.tasks {
		if b.tasks[n].ID != id {
			continue
		}
		copy(b.tasks[1:n+1], b.tasks[:n])
		b.tasks = b.tasks[1:]
		return
	}
}

// compact drops the cancelled tasks.
func (b *Backlog) compact() {
	if len(b.cancelled) == 0 {
		return
	}
	kept := b.tasks[:0]
	for n := range b.tasks {
		if _, gone := b.cancelled[b.tasks[n].ID]; !gone {
			kept = append(kept, b.tasks[n])
		}
	}
	clear(b.tasks[len(kept):])
	b.tasks = kept
	clear(b.cancelled)
}
