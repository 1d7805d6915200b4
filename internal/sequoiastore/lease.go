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

// The store-lease baseline: one lease per incarnation, two calls a second each.
const (
	LeaseDuration      = 1500 * time.Millisecond
	LeaseRenewInterval = 500 * time.Millisecond
	// leaseMargin divides the duration into the part by which the holder stops early, 1%, for clock drift.
	leaseMargin = 100
)

const leasePrefix = "leases/"

// Lease is an incarnation's lease in the store, the baseline that leases renewed by witnesses are measured against.
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

// AcquireLease takes a lease for an incarnation and binds the incarnation's key to it. It returns ErrConflict if the
// incarnation holds one already.
func (c *Client) AcquireLease(ctx context.Context, holder sequoiatable.IncarnationID) (*Lease, error) {
	sent := time.Now()
	body, err := json.Marshal(leaseRequest{DurationMilliseconds: LeaseDuration.Milliseconds()})
	if err != nil {
		return nil, errors.Wrap(err, "encode the lease request")
	}
	k := call{method: http.MethodPost, path: "/v1/leases", body: body}
	r, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if !r.ok() {
		return nil, rejected(k, r)
	}
	var granted leaseResponse
	if err := decodeJSON(k.path, r.body, &granted); err != nil {
		return nil, err
	}
	l := &Lease{client: c, id: granted.ID, end: leaseEnd(sent)}
	k = call{
		method: http.MethodPut, path: "/v1/keys/" + leasePrefix + holder.String(), query: url.Values{"lease": {l.text()}},
		header: "If-None-Match", headerValue: "*",
	}
	if err := c.write(ctx, k); err != nil {
		return nil, err
	}
	return l, nil
}

// leaseEnd is the moment at which a holder that sent its renewal at a given time stops. The store counts the whole
// duration from a later moment, so the holder stops first.
func leaseEnd(sent time.Time) time.Time {
	return sent.Add(LeaseDuration - LeaseDuration/leaseMargin)
}

func (l *Lease) text() string {
	return strconv.FormatUint(l.id, 10)
}

// End returns the moment at which the holder must stop serving its keys.
func (l *Lease) End() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end
}

// Renew extends the lease. It returns ErrLeaseLost if the lease has ended, on either clock; the holder then needs a new
// incarnation. After ErrUnavailable the lease may have been extended in the store; End does not count that.
func (l *Lease) Renew(ctx context.Context) error {
	sent := time.Now()
	if !sent.Before(l.End()) {
		return errors.Wrapf(ErrLeaseLost, "lease %d", l.id)
	}
	k := call{method: http.MethodPut, path: "/v1/leases/" + l.text()}
	r, err := l.client.do(ctx, k)
	switch {
	case err != nil:
		return err
	case r.status == http.StatusGone:
		return errors.Wrapf(ErrLeaseLost, "lease %d", l.id)
	case !r.ok():
		return rejected(k, r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = leaseEnd(sent)
	return nil
}

// Keep renews the lease until it is lost or the context ends, and calls renewed with each new end. It returns
// ErrLeaseLost or the context's error.
func (l *Lease) Keep(ctx context.Context, renewed func(end time.Time)) error {
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

// LeaseHeld reports whether the store still has an incarnation's lease. A taker of its keys waits until it has not.
func (c *Client) LeaseHeld(ctx context.Context, holder sequoiatable.IncarnationID) (bool, error) {
	v, err := c.get(ctx, leasePrefix+holder.String(), 0)
	return v.revision != 0, err
}
