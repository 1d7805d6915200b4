package sequoiarouter

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// recordID names a request that must not be repeated.
type recordID struct {
	service   string
	key       string
	requestID string
}

// record is an identifier whose request waits, runs or has finished.
type record struct {
	id recordID
	// followers are duplicates that wait for the result.
	followers []*waiter
	finished  bool
	at        time.Time
	unknown   bool
	// response is nil if it was dropped to stay within the bound.
	response *Response
	bytes    int
}

// memory retains identifiers for the resend window.
type memory struct {
	records map[recordID]*record
	// finished lists finished records in the order in which they were added, retained those that hold a response.
	finished []*record
	retained []*record
	bytes    int
}

func newMemory() memory {
	return memory{records: map[recordID]*record{}}
}

func (m *memory) remove(rec *record) {
	delete(m.records, rec.id)
}

// finish records the end of a request. An answer is kept within maxBytes for all; the oldest are dropped first.
func (m *memory) finish(rec *record, at time.Time, resp *Response, maxBytes int) {
	rec.finished = true
	rec.at = at
	rec.unknown = resp.Outcome != Answered
	m.finished = append(m.finished, rec)
	if rec.unknown {
		return
	}
	rec.response = resp
	rec.bytes = responseBytes(resp)
	m.bytes += rec.bytes
	m.retained = append(m.retained, rec)
	for m.bytes > maxBytes {
		m.drop(m.retained[0])
		m.retained = m.retained[1:]
	}
}

func (m *memory) drop(rec *record) {
	m.bytes -= rec.bytes
	rec.bytes = 0
	rec.response = nil
}

// expire forgets records that finished before the given moment.
func (m *memory) expire(before time.Time) {
	n := 0
	for n < len(m.finished) && m.finished[n].at.Before(before) {
		rec := m.finished[n]
		m.drop(rec)
		if m.records[rec.id] == rec {
			m.remove(rec)
		}
		n++
	}
	m.finished = m.finished[n:]
	for len(m.retained) > 0 && m.retained[0].response == nil {
		m.retained = m.retained[1:]
	}
}

// identifiers returns the finished records of the keys of a move.
func (m *memory) identifiers(
	now time.Time, s *sequoiatable.ServiceTable, move *closedMove,
) []sequoiacontrol.Identifier {
	var ids []sequoiacontrol.Identifier
	for id, rec := range m.records {
		if id.service != move.service || !rec.finished || !move.covers(s, id.key) {
			continue
		}
		out := sequoiacontrol.Identifier{Key: id.key, RequestID: id.requestID, Age: now.Sub(rec.at), Unknown: true}
		if rec.response != nil {
			out.Unknown = false
			out.Status, out.Header, out.Body = rec.response.Status, rec.response.Header, rec.response.Body
		}
		ids = append(ids, out)
	}
	slices.SortFunc(ids, func(a, b sequoiacontrol.Identifier) int { return int(b.Age - a.Age) })
	return ids
}

// install adds a finished record from another owner. One that this process has itself is newer and stays.
func (m *memory) install(now time.Time, service string, id sequoiacontrol.Identifier, maxBytes int) {
	rid := recordID{service, id.Key, id.RequestID}
	if m.records[rid] != nil {
		return
	}
	rec := &record{id: rid}
	m.records[rid] = rec
	resp := &Response{Outcome: Unknown}
	if !id.Unknown {
		resp = &Response{Outcome: Answered, Status: id.Status, Header: id.Header, Body: id.Body}
	}
	m.finish(rec, now.Add(-id.Age), resp, maxBytes)
}

func responseBytes(resp *Response) int {
	n := len(resp.Body)
	for k, vs := range resp.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}
