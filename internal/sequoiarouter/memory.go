package sequoiarouter

import (
	"slices"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// recordID identifies a request that must not be repeated.
type recordID struct {
	service   string
	key       string
	requestID string
}

// record is the state of a request with an identifier: waiting, running or finished.
type record struct {
	id recordID
	// duplicates are requests with the same identifier that wait for the result.
	duplicates []*pendingRequest
	finished   bool
	finishedAt time.Time
	unknown    bool
	// response is nil if it was dropped to stay within the limit on retained bytes.
	response *Response
	bytes    int
}

// identifierStore retains request identifiers and their responses for the resend window.
type identifierStore struct {
	records map[recordID]*record
	// finished lists the finished records in the order in which they were added, and retained those with a response.
	finished      []*record
	retained      []*record
	retainedBytes int
}

func newIdentifierStore() identifierStore {
	return identifierStore{records: map[recordID]*record{}}
}

func (m *identifierStore) remove(rec *record) {
	delete(m.records, rec.id)
}

// finish records the end of a request. Responses are retained up to a total of maxBytes; the oldest are dropped first.
func (m *identifierStore) finish(rec *record, at time.Time, resp *Response, maxBytes int) {
	rec.finished = true
	rec.finishedAt = at
	rec.unknown = resp.Outcome != Answered
	m.finished = append(m.finished, rec)
	if rec.unknown {
		return
	}
	rec.response = resp
	rec.bytes = responseBytes(resp)
	m.retainedBytes += rec.bytes
	m.retained = append(m.retained, rec)
	for m.retainedBytes > maxBytes {
		m.dropResponse(m.retained[0])
		m.retained = m.retained[1:]
	}
}

func (m *identifierStore) dropResponse(rec *record) {
	m.retainedBytes -= rec.bytes
	rec.bytes = 0
	rec.response = nil
}

// expire removes records that finished before the given time.
func (m *identifierStore) expire(before time.Time) {
	n := 0
	for n < len(m.finished) && m.finished[n].finishedAt.Before(before) {
		rec := m.finished[n]
		m.dropResponse(rec)
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

// finishedFor returns the finished records of the closed keys, oldest first.
func (m *identifierStore) finishedFor(
	now time.Time, s *sequoiatable.ServiceTable, c *closedKeySet,
) []sequoiacontrol.Identifier {
	var ids []sequoiacontrol.Identifier
	for id, rec := range m.records {
		if id.service != c.service || !rec.finished || !c.covers(s, id.key) {
			continue
		}
		out := sequoiacontrol.Identifier{Key: id.key, RequestID: id.requestID, Age: now.Sub(rec.finishedAt), Unknown: true}
		if rec.response != nil {
			out.Unknown = false
			out.Status, out.Header, out.Body = rec.response.Status, rec.response.Header, rec.response.Body
		}
		ids = append(ids, out)
	}
	slices.SortFunc(ids, func(a, b sequoiacontrol.Identifier) int { return int(b.Age - a.Age) })
	return ids
}

// install adds a finished record from another owner. A record that this process already has is newer and is kept.
func (m *identifierStore) install(now time.Time, service string, id sequoiacontrol.Identifier, maxBytes int) {
	recID := recordID{service, id.Key, id.RequestID}
	if m.records[recID] != nil {
		return
	}
	rec := &record{id: recID}
	m.records[recID] = rec
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
