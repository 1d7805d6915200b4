package sequoiafront

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

// closeReason says why a connection was closed.
type closeReason int

const (
	// closedByClient means that the client closed or reset the connection.
	closedByClient closeReason = iota
	// closedIdle means that the client sent no request for the idle timeout.
	closedIdle
	// closedResponse means that a response closed the connection.
	closedResponse
	// closedRefusal means that a request was refused.
	closedRefusal
	// closedReplaced means that the connection made room for another one.
	closedReplaced
	// closedWrite means that the client took no bytes of a response.
	closedWrite
	// closedNoRoom means that there was no room for the connection or for a response.
	closedNoRoom
	// closedShutdown means that the server was closed.
	closedShutdown
	closeReasons
)

var closeReasonNames = [closeReasons]string{"Client", "Idle", "Response", "Refusal", "Replaced", "Write", "NoRoom", "Shutdown"}

// closeReasonOf returns the reason for the end of a connection by the cause of the cancellation of its requests.
func closeReasonOf(ctx context.Context, refused bool) closeReason {
	cause := context.Cause(ctx)
	switch {
	case refused:
		return closedRefusal
	case errors.Is(cause, errNoRoom):
		return closedNoRoom
	case errors.Is(cause, errNotTaken):
		return closedWrite
	case errors.Is(cause, errConnectionClosing):
		return closedResponse
	case errors.Is(cause, net.ErrClosed):
		return closedShutdown
	default:
		return closedByClient
	}
}

// counters counts refusals and closed connections.
type counters struct {
	refusals [len(refusals)]atomic.Uint64
	closes   [closeReasons]atomic.Uint64
}

func (c *counters) closed(r closeReason) { c.closes[r].Add(1) }

// Stats are numbers about a Server since its start.
type Stats struct {
	// Refusals is the number of requests that were refused, by reason, and Closed that of closed connections.
	Refusals, Closed map[string]uint64
}

// Stats returns the numbers at present. All reasons are present, also those that have not occurred.
func (s *Server) Stats() Stats {
	st := Stats{Refusals: map[string]uint64{}, Closed: map[string]uint64{}}
	for i := range refusals {
		st.Refusals[refusals[i].reason] = s.counters.refusals[i].Load()
	}
	for i, name := range closeReasonNames {
		st.Closed[name] = s.counters.closes[i].Load()
	}
	return st
}

// Account returns the account in which the server reserves memory.
func (s *Server) Account() *sequoiamemory.Account { return s.account }
