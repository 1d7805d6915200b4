// Package sequoiaclient is the client for callers: it keeps the table, calls the owner's process directly and resends
// only where that cannot run a request twice.
package sequoiaclient

import "net/netip"

// Document is the response of GET /v1/table: what a caller needs of the table to find the owner of a key.
type Document struct {
	// Index is the index of the last log entry; the ETag is the same number.
	Index    uint64
	Members  []DocumentMember
	Services []DocumentService
}

// DocumentMember is a process and the address of its front for callers.
type DocumentMember struct {
	// Incarnation is written as 16 hexadecimal digits.
	Incarnation string
	HTTP        netip.AddrPort
	Service     string
}

// DocumentService lists the assignments of a service.
type DocumentService struct {
	Name    string
	Divided bool
	// Runs cover the shards from 0 upwards without gaps.
	Runs []DocumentRun
	Keys map[string]DocumentRun `json:",omitempty"`
}

// DocumentRun is a run of shards with the same assignment, or with Count 1 a hot key's.
type DocumentRun struct {
	// Owner is a position in Members, -1 if there is no owner that serves.
	Owner int
	Epoch uint64
	Count uint32
}
