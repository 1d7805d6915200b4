package sequoiacontrol

import (
	"slices"
	"time"
)

const (
	// memoryPartBytes is the size from which a part of the identifiers is not extended. At 4 parts under way the
	// answers arrive well within the resend interval.
	memoryPartBytes = 256 << 10
	// maxIdentifierBytes is the largest identifier that keeps its response in a move; with it a part stays below the
	// transport's limit of 32 MB for a message. A larger one is passed on with an unknown outcome.
	maxIdentifierBytes = 16 << 20
	// identifierOverhead is the size of an identifier's other fields.
	identifierOverhead = 64
	// maxPartsUnderWay bounds the parts that are sent before the first of them is acknowledged.
	maxPartsUnderWay = 4
)

// memoryPart is a part of the identifiers of a move.
type memoryPart struct {
	identifiers []Identifier
	sentAt      time.Time
	received    bool
}

// splitMemory returns the identifiers in parts, at least one.
func splitMemory(ids []Identifier) []*memoryPart {
	part := &memoryPart{}
	parts := []*memoryPart{part}
	size := 0
	for _, id := range ids {
		if id.bytes() > maxIdentifierBytes {
			id = Identifier{Key: id.Key, RequestID: id.RequestID, Age: id.Age, Unknown: true}
		}
		n := id.bytes()
		if size > 0 && size+n > memoryPartBytes {
			part = &memoryPart{}
			parts = append(parts, part)
			size = 0
		}
		part.identifiers = append(part.identifiers, id)
		size += n
	}
	return parts
}

// bytes estimates the encoded size.
func (id *Identifier) bytes() int {
	n := identifierOverhead + len(id.Key) + len(id.RequestID) + len(id.Body)
	for k, vs := range id.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// sendMemory sends the first parts that are not acknowledged, each again until it is.
func (c *Core) sendMemory(m *move) {
	underWay := 0
	for n, p := range m.parts {
		if p.received {
			continue
		}
		if underWay++; underWay > maxPartsUnderWay {
			return
		}
		if c.now.Sub(p.sentAt) < 2*c.opt.timings.ResendInterval {
			continue
		}
		p.sentAt = c.now
		keys := KeySet{Service: m.keys.Service}
		if n == 0 {
			keys = m.keys
		}
		c.send(m.to, Message{Memory: &Memory{Move: m.id, Part: n, Keys: keys, Identifiers: p.identifiers}})
	}
}

// acknowledge notes that the next owner has a part, and reports whether it has all.
func (m *move) acknowledge(part int, now time.Time) bool {
	if part < 0 || part >= len(m.parts) || m.parts[part].received {
		return false
	}
	m.parts[part].received = true
	m.parts[part].identifiers = nil
	m.phaseSince = now
	return !slices.ContainsFunc(m.parts, func(p *memoryPart) bool { return !p.received })
}
