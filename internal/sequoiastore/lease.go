package sequoiastore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// The store-lease baseline: each incarnation has a lease in the store and renews it twice a second.
const (
	LeaseDuration      = 1500 * time.Millisecond
	LeaseRenewInterval = 500 * time.Millisecond
	// leaseMarginDivisor makes the holder stop 1% of the duration early, to allow for clock drift.
	leaseMarginDivisor = 100
)

const leasePrefix = "leases/"

// Lease is an incarnation's lease in the store. It is the baseline for measurements of leases renewed by witnesses.
type Lease struct {
	client *Client
	id     uint64

	mu  sync.Mutex
	end time.Time
}

type leaseRequest struct {
	DurationMilliseconds int64
}

type leaseResponse struct {
	ID                   uint64 `json:",string"`
	DurationMilliseconds int64
}

// AcquireLease acquires a lease for an incarnation and attaches the incarnation's key to it. It returns ErrConflict if
// the incarnation already holds a lease.
func (c *Client) AcquireLease(ctx context.Context, holder sequoiatable.IncarnationID) (*Lease, error) {
	sent := time.Now()
	body, err := json.Marshal(leaseRequest{DurationMilliseconds: LeaseDuration.Milliseconds()})
	if err != nil {
		return nil, errors.Wrap(err, "encode the lease request")
	}
	req := request{method: http.MethodPost, path: "/v1/leases", body: body}
	resp, err := c.do(ctx, req)
	if err != nil {
		return nil, err
	}
	if !resp.success() {
		return nil, rejectedError(req, resp)
	}
	var granted leaseResponse
	if err := decodeJSON(req.path, resp.body, &granted); err != nil {
		return nil, err
	}
	l := &Lease{client: c, id: granted.ID, end: leaseEnd(sent)}
	req = request{
		method: http.MethodPut, path: "/v1/keys/" + leasePrefix + holder.String(), query: url.Values{"lease": {l.idString()}},
		preconditionHeader: "If-None-Match", preconditionValue: "*",
	}
	if err := c.write(ctx, req); err != nil {
		return nil, err
	}
	return l, nil
}

// leaseEnd returns when a holder that sent its renewal at the given time must stop. The store counts the whole duration
// from a later time, so the holder stops before the lease expires in the store.
func leaseEnd(sent time.Time) time.Time {
	return sent.Add(LeaseDuration - LeaseDuration/leaseMarginDivisor)
}

func (l *Lease) idString() string {
	return strconv.FormatUint(l.id, 10)
}

// End returns the time at which the holder must stop serving its keys.
func (l *Lease) End() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end
}

// Renew extends the lease. It returns ErrLeaseLost if the lease has ended by the holder's or the store's clock; the
// holder then needs a new incarnation. If it returns ErrUnavailable, the store may have extended the lease, but End
// stays as it was.
func (l *Lease) Renew(ctx context.Context) error {
	sent := time.Now()
	if !sent.Before(l.End()) {
		return errors.Wrapf(ErrLeaseLost, "lease %d", l.id)
	}
	req := request{method: http.MethodPut, path: "/v1/leases/" + l.idString()}
	resp, err := l.client.do(ctx, req)
	switch {
	case err != nil:
		return err
	case resp.status == http.StatusGone:
		return errors.Wrapf(ErrLeaseLost, "lease %d", l.id)
	case !resp.success():
		return rejectedError(req, resp)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = leaseEnd(sent)
	return nil
}

// KeepAlive renews the lease until it is lost or the context ends, and calls renewed with each new end. It returns
// ErrLeaseLost or the context's error.
func (l *Lease) KeepAlive(ctx context.Context, renewed func(end time.Time)) error {
	ticker := time.NewTicker(LeaseRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		callCtx, cancel := context.WithDeadline(ctx, l.End())
		err := l.Renew(callCtx)
		cancel()
		if errors.Is(err, ErrLeaseLost) {
			return err
		}
		if err == nil {
			renewed(l.End())
		}
	}
}

// LeaseHeld reports whether the store still has an incarnation's lease. A process that takes over the incarnation's
// keys waits until it does not.
func (c *Client) LeaseHeld(ctx context.Context, holder sequoiatable.IncarnationID) (bool, error) {
	v, err := c.get(ctx, leasePrefix+holder.String(), 0)
	return v.revision != 0, err
}
