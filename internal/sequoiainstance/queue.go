package sequoiainstance

import "sync"

// queue is an unbounded FIFO queue for one reader. Writers never block, so that a callback of the data path cannot
// wait for the control goroutine, which may be calling the data path.
type queue[T any] struct {
	mu     sync.Mutex
	items  []T
	ready  chan struct{}
	closed bool
}

func newQueue[T any]() *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1)}
}

// push adds an item and reports whether the queue is open.
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

// length returns the number of items that wait.
func (q *queue[T]) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// take returns all items that wait; ready is signalled when there are some.
func (q *queue[T]) take() []T {
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
