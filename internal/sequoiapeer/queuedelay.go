package sequoiapeer

import (
	"encoding/binary"
	"time"
)

// offsetPeriod is how long a smallest clock offset is used, at least; the longest time is twice this. Clocks whose rates
// differ by 0.01% drift apart by 1 ms in that time.
const offsetPeriod = 5 * time.Second

// queueDelay estimates how long the frames of a connection were in queues: in the sender's process, in its machine and in
// the network. A frame carries the time at which it was sent on the sender's clock. The smallest difference to the time of
// arrival seen lately is taken as the offset of the two clocks and the time without a queue; what a frame took longer is
// time in queues.
type queueDelay struct {
	// periodStart is when the current period started; zero before the first frame.
	periodStart time.Time
	// current and previous are the smallest offsets of the current and the previous period.
	current, previous time.Duration
}

// observe records a frame and returns how long it was in queues.
func (q *queueDelay) observe(now time.Time, sentAt time.Duration) time.Duration {
	offset := now.Sub(monotonicOrigin) - sentAt
	switch age := now.Sub(q.periodStart); {
	case q.periodStart.IsZero() || age >= 2*offsetPeriod:
		q.periodStart, q.previous, q.current = now, offset, offset
	case age >= offsetPeriod:
		q.periodStart, q.previous, q.current = now, q.current, offset
	}
	q.current = min(q.current, offset)
	return offset - min(q.current, q.previous)
}

// encodeSentAt encodes the payload of a ping that carries the time at which it is sent.
func encodeSentAt(now time.Time) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(now.Sub(monotonicOrigin)))
}

// decodeSentAt decodes the payload of a ping. It returns false if the ping carries no time.
func decodeSentAt(payload []byte) (time.Duration, bool) {
	if len(payload) != 8 {
		return 0, false
	}
	sentAt := time.Duration(binary.BigEndian.Uint64(payload))
	return sentAt, sentAt > 0
}
