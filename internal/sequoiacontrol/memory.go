package sequoiacontrol

import (
	"slices"
	"time"
)

const (
	// identifierPartBytes is the maximum size of a part that holds more than one identifier. With 4 parts in flight,
	// acknowledgements arrive well within the resend interval.
	identifierPartBytes = 256 << 10
	// maxIdentifierBytes is the size of the largest identifier that is transferred with its response, so that a part
	// stays below the transport's message limit of 32 MB. A larger one is transferred with an unknown outcome.
	maxIdentifierBytes = 16 << 20
	// identifierOverheadBytes estimates the size of an identifier's fixed-size fields.
	identifierOverheadBytes = 64
	// maxUnacknowledgedParts is the maximum number of parts in flight.
	maxUnacknowledgedParts = 4
)

// identifierPart is a part of the request identifiers that a move transfers.
type identifierPart struct {
	identifiers []Identifier
	sentAt      time.Time
	received    bool
}

// splitIdentifiers splits the identifiers into parts. It returns at least one part, so that the next owner always
// learns the keys.
func splitIdentifiers(ids []Identifier) []*identifierPart {
	part := &identifierPart{}
	parts := []*identifierPart{part}
	size := 0
	for _, id := range ids {
		if id.encodedSize() > maxIdentifierBytes {
			id = Identifier{Key: id.Key, RequestID: id.RequestID, Age: id.Age, Unknown: true}
		}
		n := id.encodedSize()
		if size > 0 && size+n > identifierPartBytes {
			part = &identifierPart{}
			parts = append(parts, part)
			size = 0
		}
		part.identifiers = append(part.identifiers, id)
		size += n
	}
	return parts
}

// encodedSize estimates the encoded size in bytes.
func (id *Identifier) encodedSize() int {
	n := identifierOverheadBytes + len(id.Key) + len(id.RequestID) + len(id.Body)
	for k, vs := range id.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// sendIdentifiers sends the first unacknowledged parts and resends each until it is acknowledged.
func (c *Core) sendIdentifiers(m *move) {
	inFlight := 0
	for n, p := range m.parts {
		if p.received {
			continue
		}
		if inFlight++; inFlight > maxUnacknowledgedParts {
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

// acknowledge records that the next owner has received a part, and reports whether it has received all.
func (m *move) acknowledge(part int, now time.Time) bool {
	if part < 0 || part >= len(m.parts) || m.parts[part].received {
		return false
	}
	m.parts[part].received = true
	m.parts[part].identifiers = nil
	m.phaseSince = now
	return !slices.ContainsFunc(m.parts, func(p *identifierPart) bool { return !p.received })
}
