package sequoiainstance

import "sync"

// queue is an unbounded FIFO queue with one reader. Writers never block: a callback of the data path that waited for
// the control goroutine could deadlock, because that goroutine may be calling the data path.
type queue[T any] struct {
	mu     sync.Mutex
	items  []T
	ready  chan struct{}
	closed bool
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1)}
}

// push adds an item. It returns false if the queue is closed.
func (q *queue[T]) push(item T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.items = append(q.items, item)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// length returns the number of queued items.
func (q *queue[T]) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// takeAll removes and returns all queued items. The ready channel signals that there are some.
func (q *queue[T]) takeAll() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.items = nil
}
