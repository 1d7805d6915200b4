// Package sequoiaclient is the client library for callers. It keeps a copy of the ownership table, sends each request
// directly to the process that owns its key, and retries a request only if it has not run or may run more than once.
package sequoiaclient

import "net/netip"

// Document is the response body of GET /v1/table. It has the part of the table that a caller needs to find the owner of
// a key.
type Document struct {
	// Index is the index of the last applied log entry. The ETag has the same number.
	Index    uint64
	Members  []DocumentMember
	Services []DocumentService
}

// DocumentMember is a process and the address at which it serves callers.
type DocumentMember struct {
	// Incarnation has 16 hexadecimal digits.
	Incarnation string
	HTTP        netip.AddrPort
	Service     string
}

// DocumentService lists the assignments of a service.
type DocumentService struct {
	Name    string
	Divided bool
	// Runs cover all shards in ascending order, starting at 0, without gaps.
	Runs []DocumentRun
	// Keys has the assignments of hot keys.
	Keys map[string]DocumentRun `json:",omitempty"`
}

// DocumentRun is the assignment of Count consecutive shards, or in Keys of one hot key, with Count 1.
type DocumentRun struct {
	// Owner is an index into Members, or -1 if no process serves the shards.
	Owner int
	Epoch uint64
	Count uint32
}
