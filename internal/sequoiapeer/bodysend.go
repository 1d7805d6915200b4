package sequoiapeer

import (
	"slices"
	"sync"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoialink"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// ownLinkWindow is how long the pieces that this process has handed to its sockets may occupy its own link.
	ownLinkWindow = 40 * time.Millisecond
	// minUnsent and maxUnsent limit the bytes in the send queue of a connection beyond which no piece is added. With
	// maxUnsent, which applies if the rate of the link is not known, a connection with a round trip of 3 ms carries 85 MB/s.
	minUnsent = 4 * sequoialink.Piece
	maxUnsent = 256 << 10
	// fullQueuePause is the time after which a full send queue is looked at again.
	fullQueuePause = 2 * time.Millisecond
)

// outgoingBody is a body that is sent in pieces.
type outgoingBody struct {
	conn     *forwardConn
	number   uint64
	kind     frameKind
	body     []byte
	deadline time.Time
	// release is called by end, nil if there is nothing to release.
	release func()

	// The following fields are protected by the lock of the bodyWriter. sent and granted are numbers of bytes from the
	// start of the body.
	sent, granted int
	stopped       bool
}

// end is called by whoever removes the body of a response from those that are being sent.
func (b *outgoingBody) end() {
	if b.release != nil {
		b.release()
	}
}

// bodyWriter sends the pieces of all bodies of a Forwarder, in the order of their deadlines. It hands a piece to a
// connection only while little is queued there, so that other frames overtake bodies.
type bodyWriter struct {
	timers *sequoiatimer.Service
	// rate is what bodies may use of this instance's link in bytes per second, zero if the rate of the link is not known.
	rate float64
	// burst is the largest number of bytes that are sent at once at that rate, and unsent the largest number in the send
	// queue of a connection.
	burst  float64
	unsent int

	mu sync.Mutex
	// ready are the bodies of which more may be sent, in the order of their deadlines.
	ready   []*outgoingBody
	running bool
	// resuming is true while a timer is set that resumes writing.
	resuming bool
	credit   float64
	creditAt time.Time
}

func newBodyWriter(timers *sequoiatimer.Service, linkRate float64) *bodyWriter {
	w := &bodyWriter{timers: timers, rate: sequoialink.BodyShare * linkRate, unsent: maxUnsent}
	if linkRate > 0 {
		inWindow := linkRate * ownLinkWindow.Seconds()
		w.burst = max(sequoialink.Piece, inWindow/2)
		w.unsent = min(max(int(inWindow), minUnsent), maxUnsent)
	}
	w.credit = w.burst
	return w
}

// grant allows to send a body up to the given number of bytes.
func (w *bodyWriter) grant(b *outgoingBody, granted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	granted = min(granted, len(b.body))
	if b.stopped || granted <= b.granted {
		return
	}
	if b.sent == b.granted {
		i, _ := slices.BinarySearchFunc(w.ready, b, compareDeadlines)
		w.ready = slices.Insert(w.ready, i, b)
	}
	b.granted = granted
	w.start()
}

// compareDeadlines compares bodies by their deadlines; a body without one goes last.
func compareDeadlines(a, b *outgoingBody) int {
	if a.deadline.IsZero() || b.deadline.IsZero() {
		return b.deadline.Compare(a.deadline)
	}
	return a.deadline.Compare(b.deadline)
}

// stop ends the sending of a body. It returns true if the body has been sent completely.
func (w *bodyWriter) stop(b *outgoingBody) (complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b.stopped = true
	w.removeLocked(b)
	return b.sent == len(b.body)
}

func (w *bodyWriter) removeLocked(b *outgoingBody) {
	w.ready = slices.DeleteFunc(w.ready, func(other *outgoingBody) bool { return other == b })
}

// start starts the goroutine that writes pieces unless it is running. The caller holds mu.
func (w *bodyWriter) start() {
	if !w.running {
		w.running = true
		go w.run()
	}
}

// run writes pieces until none can be written for now.
func (w *bodyWriter) run() {
	for {
		b, piece, last := w.next()
		if b == nil {
			return
		}
		// A failed write closes the connection, which ends the request.
		_ = b.conn.write(encodeFrame(b.kind, b.number, piece))
		if last && b.kind == frameResponseBody {
			b.conn.forgetResponseBody(b.number)
		}
	}
}

// next returns the next piece that is to be written, and whether it is the last one of its body. It counts the piece as
// sent. If none can be written for now, it returns nil, and writing resumes later if pieces are left.
func (w *bodyWriter) next() (b *outgoingBody, piece []byte, last bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b = w.chooseReady()
	if b == nil {
		w.running = false
		if len(w.ready) > 0 {
			w.resumeAfter(fullQueuePause)
		}
		return nil, nil, false
	}
	n := min(sequoialink.Piece, b.granted-b.sent)
	if wait := w.creditDelay(time.Now(), n); wait > 0 {
		w.running = false
		w.resumeAfter(wait)
		return nil, nil, false
	}
	w.credit -= float64(n)
	piece = b.body[b.sent : b.sent+n]
	b.sent += n
	if b.sent == b.granted {
		w.removeLocked(b)
	}
	return b, piece, b.sent == len(b.body)
}

// chooseReady returns the body with the earliest deadline whose connection has room in its send queue, or nil. It drops
// bodies of closed connections.
func (w *bodyWriter) chooseReady() *outgoingBody {
	w.ready = slices.DeleteFunc(w.ready, func(b *outgoingBody) bool { return b.conn.isClosed() })
	full := map[*forwardConn]bool{}
	for _, b := range w.ready {
		if full[b.conn] {
			continue
		}
		if b.conn.queuedBytes() < w.unsent {
			return b
		}
		full[b.conn] = true
	}
	return nil
}

// creditDelay returns how long the rate of the own link requires to wait before n more bytes are sent.
func (w *bodyWriter) creditDelay(now time.Time, n int) time.Duration {
	if w.rate <= 0 {
		return 0
	}
	if !w.creditAt.IsZero() {
		w.credit = min(w.burst, w.credit+w.rate*now.Sub(w.creditAt).Seconds())
	}
	w.creditAt = now
	return time.Duration(max(0, float64(n)-w.credit) / w.rate * float64(time.Second))
}

// resumeAfter resumes writing after d, unless that is already due. A grant may start it earlier. The caller holds mu.
func (w *bodyWriter) resumeAfter(d time.Duration) {
	if w.resuming {
		return
	}
	w.resuming = true
	w.timers.After(d, func(time.Time) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.resuming = false
		if len(w.ready) > 0 {
			w.start()
		}
	})
}
