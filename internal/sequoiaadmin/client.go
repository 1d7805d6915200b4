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
	// callTimeout is longer than the server's changeTimeout, so that the client receives the server's response.
	callTimeout = changeTimeout + 2*time.Second
	// maxResponseBytes limits a response. The largest ones contain a configuration, at most 1 MB, or the state of all members.
	maxResponseBytes = 16 << 20
	// retryInterval is the interval between attempts to make a change while its result is unknown.
	retryInterval = 200 * time.Millisecond
)

// RemoteError is an error that the server returned.
type RemoteError struct {
	Failure Failure
	kind    error
}

// Error returns the server's message.
func (e *RemoteError) Error() string {
	return e.Failure.Message
}

// Unwrap returns the error of this package that Failure.Error names, nil if it names none.
func (e *RemoteError) Unwrap() error {
	return e.kind
}

// Client calls the administration API of one process.
type Client struct {
	Address    netip.AddrPort
	Credential string
	// HTTP sends the calls. Tests replace it to drop responses.
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

// Document returns the configuration document in force.
func (c *Client) Document(ctx context.Context) (Document, error) {
	return call[Document](ctx, c, http.MethodGet, "/v1/configuration", nil)
}

// Explain returns the owner of a key and the decision that assigned it. It returns ErrNotFound if the service is not
// configured.
func (c *Client) Explain(ctx context.Context, service, key string) (Explanation, error) {
	q := url.Values{"service": {service}, "key": {key}}
	return call[Explanation](ctx, c, http.MethodGet, "/v1/explain?"+q.Encode(), nil)
}

// Move moves shards or hot keys. It succeeds if they already have the wanted owner, so it can safely be repeated.
func (c *Client) Move(ctx context.Context, req MoveRequest) (Done, error) {
	return call[Done](ctx, c, http.MethodPost, "/v1/move", req)
}

// Drain starts the planned stop of the process.
func (c *Client) Drain(ctx context.Context, req DrainRequest) (Done, error) {
	return call[Done](ctx, c, http.MethodPost, "/v1/drain", req)
}

// ConfirmLoss has the keys of a lost member taken over without the consent of its witnesses. It returns ErrMemberAlive
// if the member still renews its lease and ErrNotFound if there is no such member.
func (c *Client) ConfirmLoss(ctx context.Context, req ConfirmLossRequest) (Done, error) {
	return call[Done](ctx, c, http.MethodPost, "/v1/confirm-loss", req)
}

// Apply replaces the configuration. If a response is lost, Apply retries with the same base until ctx ends. If the lost
// attempt took effect, the retry fails with a conflict, and the document in force is the requested one. Apply returns
// ErrConflict if another operator's document took effect first and ErrUnknownResult if ctx ends before the result is
// known.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (Done, error) {
	attempted := false
	for {
		done, err := call[Done](ctx, c, http.MethodPost, "/v1/configuration", req)
		var remote *RemoteError
		switch {
		case err == nil:
			return done, nil
		case errors.Is(err, ErrConflict) && attempted:
			return c.resolveConflict(ctx, req, err)
		case errors.As(err, &remote) && !errors.Is(err, ErrUnknownResult):
			return Done{}, err
		}
		attempted = true
		select {
		case <-ctx.Done():
			return Done{}, errors.Wrap(ErrUnknownResult, err.Error())
		case <-time.After(retryInterval):
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
	var reqBody io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return result, errors.Wrap(err, "encode the request")
		}
		reqBody = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, reqBody)
	if err != nil {
		return result, errors.Wrap(err, "build the request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return result, errors.Wrap(err, "call the administration API")
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return result, errors.Wrap(err, "read the response")
	}
	if len(respBody) > maxResponseBytes {
		return result, errors.Wrapf(ErrTooLarge, "limit %d bytes", maxResponseBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return result, decodeFailure(resp.StatusCode, respBody)
	}
	return result, errors.Wrap(json.Unmarshal(respBody, &result), "decode the response")
}

func decodeFailure(status int, body []byte) error {
	var f Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return errors.Errorf("the administration API returned status %d", status)
	}
	for _, k := range failureKinds {
		if k.name == f.Error {
			return &RemoteError{Failure: f, kind: k.err}
		}
	}
	return &RemoteError{Failure: f}
}
