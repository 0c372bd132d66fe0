package placement

// Backlog holds the waiting tasks of one team and class in order of submission.
// Cancel takes amortized constant time, so that bursts of cancellations are
// cheap. A Backlog is not safe for concurrent use.
type Backlog struct {
	tasks []Task
	// cancelled holds the ids of cancelled tasks that are still in tasks.
	cancelled map[string]struct{}
	// waiting holds the ids of the tasks that are not cancelled.
	waiting map[string]struct{}
}

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog {
	return &Backlog{cancelled: map[string]struct{}{}, waiting: map[string]struct{}{}}
}

// Push appends the task. It returns false if a task with the same id is already
// waiting.
func (b *Backlog) Push(t Task) bool {
	if _, ok := b.waiting[t.ID]; ok {
		return false
	}
	if _, ok := b.cancelled[t.ID]; ok {
		// Tasks are matched by id, so the cancelled one must be removed before its
		// id is used again.
		b.compact()
	}
	b.waiting[t.ID] = struct{}{}
	b.tasks = append(b.tasks, t)
	return true
}

// Cancel removes the task with the id. It returns false if no such task is
// waiting, for example after an earlier Cancel.
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

// Head returns the first n waiting tasks in order of submission, or fewer if
// fewer are waiting. The result is valid until the next method call.
func (b *Backlog) Head(n int) []Task {
	for at := range min(n, len(b.tasks)) {
		if _, cancelled := b.cancelled[b.tasks[at].ID]; cancelled {
			b.compact()
			break
		}
	}
	return b.tasks[:min(n, len(b.tasks))]
}

// Remove removes a task that was started. The cost is proportional to the
// distance of the task from the head.
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

// compact removes the cancelled tasks from tasks.
func (b *Backlog) compact() {
	if len(b.cancelled) == 0 {
		return
	}
	kept := b.tasks[:0]
	for n := range b.tasks {
		if _, cancelled := b.cancelled[b.tasks[n].ID]; !cancelled {
			kept = append(kept, b.tasks[n])
		}
	}
	clear(b.tasks[len(kept):])
	b.tasks = kept
	clear(b.cancelled)
}
