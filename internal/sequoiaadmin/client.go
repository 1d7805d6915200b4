package sequoiaadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

const (
	// callTimeout is longer than the server's bound on a change, so that its verdict arrives.
	callTimeout = changeTimeout + 2*time.Second
	// retryPause separates attempts to resolve a change whose reply was lost.
	retryPause = 200 * time.Millisecond
)

// RemoteError is a failure that the server reported.
type RemoteError struct {
	Failure Failure
	kind    error
}

// Error returns the server's message.
func (e *RemoteError) Error() string {
	return e.Failure.Message
}

// Unwrap returns the package's error that the failure names, nil if it names none.
func (e *RemoteError) Unwrap() error {
	return e.kind
}

// Client calls the administration API of one process.
type Client struct {
	Address    netip.AddrPort
	Credential string
	// HTTP carries the calls; a test replaces it to lose replies.
	HTTP *http.Client
}

// NewClient returns a client for the process at the address.
func NewClient(addr netip.AddrPort, credential string) *Client {
	return &Client{Address: addr, Credential: credential, HTTP: &http.Client{Timeout: callTimeout}}
}

// Status returns the process's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Document returns the configuration in force.
func (c *Client) Document(ctx context.Context) (Document, error) {
	return call[Document](ctx, c, http.MethodGet, "/v1/configuration", nil)
}

// Explain says who owns a key and why. It returns ErrNotFound for a service that is not configured.
func (c *Client) Explain(ctx context.Context, service, key string) (Explanation, error) {
	q := url.Values{"service": {service}, "key": {key}}
	return call[Explanation](ctx, c, http.MethodGet, "/v1/explain?"+q.Encode(), nil)
}

// Move moves keys. Moving keys to the process that owns them already succeeds, so a move may be asked for again.
func (c *Client) Move(ctx context.Context, req MoveRequest) (Done, error) {
	return call[Done](ctx, c, http.MethodPost, "/v1/move", req)
}

// Drain starts a planned stop of the process.
func (c *Client) Drain(ctx context.Context, req DrainRequest) (Done, error) {
	return call[Done](ctx, c, http.MethodPost, "/v1/drain", req)
}

// ConfirmLoss lets the keys of a lost member be taken over without its witnesses. It returns ErrMemberAlive if the
// member still renews its lease and ErrNotFound if there is no such member.
func (c *Client) ConfirmLoss(ctx context.Context, req ConfirmLossRequest) (Done, error) {
	return call[Done](ctx, c, http.MethodPost, "/v1/confirm-loss", req)
}

// Apply replaces the configuration. If a reply is lost, it asks again from the same base until ctx ends: either the
// first attempt had not taken effect and this one does, or the conflict names a revision whose document is ours.
// It returns ErrConflict if another operator's document won and ErrUnknownResult if ctx ends first.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (Done, error) {
	asked := false
	for {
		done, err := call[Done](ctx, c, http.MethodPost, "/v1/configuration", req)
		var remote *RemoteError
		switch {
		case err == nil:
			return done, nil
		case errors.Is(err, ErrConflict) && asked:
			return c.resolveConflict(ctx, req, err)
		case errors.As(err, &remote) && !errors.Is(err, ErrUnknownResult):
			return Done{}, err
		}
		asked = true
		select {
		case <-ctx.Done():
			return Done{}, errors.Wrap(ErrUnknownResult, err.Error())
		case <-time.After(retryPause):
		}
	}
}

func (c *Client) resolveConflict(ctx context.Context, req ApplyRequest, conflict error) (Done, error) {
	doc, err := c.Document(ctx)
	if err != nil {
		return Done{}, errors.Wrap(ErrUnknownResult, err.Error())
	}
	if doc.Document == req.Document && doc.Operator == req.Operator {
		return Done{Revision: doc.Revision}, nil
	}
	return Done{}, conflict
}

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	var sent io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return result, errors.Wrap(err, "encode the request")
		}
		sent = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, sent)
	if err != nil {
		return result, errors.Wrap(err, "build the request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return result, errors.Wrap(err, "call the administration API")
	}
	defer resp.Body.Close()
	received, err := io.ReadAll(resp.Body)
	if err != nil {
		return result, errors.Wrap(err, "read the response")
	}
	if resp.StatusCode != http.StatusOK {
		return result, decodeFailure(resp.StatusCode, received)
	}
	return result, errors.Wrap(json.Unmarshal(received, &result), "decode the response")
}

func decodeFailure(status int, body []byte) error {
	var f Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return errors.Errorf("the administration API answered with status %d", status)
	}
	for _, k := range failureKinds {
		if k.name == f.Error {
			return &RemoteError{Failure: f, kind: k.err}
		}
	}
	return &RemoteError{Failure: f}
}
