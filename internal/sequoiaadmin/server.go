package sequoiaadmin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

const (
	// maxBodyBytes bounds the body of a request. A configuration must fit into a value of the store, at most 1 MB.
	maxBodyBytes = 1 << 20
	// changeTimeout bounds a change. If a store outage lasts longer, the caller receives ErrUnknownResult.
	changeTimeout = 10 * time.Second
)

// Server serves the administration API. Its function fields connect it to the process.
type Server struct {
	Credential string
	Status     func() Status
	Explain    func(service, key string) (Explanation, error)
	Document   func() Document
	Apply      func(ctx context.Context, req ApplyRequest) (Done, error)
	Move       func(ctx context.Context, req MoveRequest) (Done, error)
	Drain      func(ctx context.Context, req DrainRequest) (Done, error)
	// ConfirmLoss is never retried by the client.
	ConfirmLoss func(ctx context.Context, req ConfirmLossRequest) (Done, error)
	// Metrics serves the process's metrics in the Prometheus text format.
	Metrics http.Handler
	// Refused is called with the remote address of each request whose credential is missing or wrong.
	Refused func(remote string)
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Status(), nil) })
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Document(), nil) })
	mux.HandleFunc("GET /v1/explain", s.explain)
	mux.HandleFunc("POST /v1/configuration", changeHandler(s, s.Apply))
	mux.HandleFunc("POST /v1/move", changeHandler(s, s.Move))
	mux.HandleFunc("POST /v1/drain", changeHandler(s, s.Drain))
	mux.HandleFunc("POST /v1/confirm-loss", changeHandler(s, s.ConfirmLoss))
	mux.Handle("GET /metrics", s.Metrics)
	return s.authenticate(mux)
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.Credential))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(credential))
		if !ok || s.Credential == "" || subtle.ConstantTimeCompare(sum[:], want[:]) != 1 {
			s.Refused(r.RemoteAddr)
			respond(w, nil, ErrCredential)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	key := r.URL.Query().Get("key")
	if service == "" || key == "" {
		respond(w, nil, errors.Wrap(ErrBadRequest, "the service and key parameters are required"))
		return
	}
	e, err := s.Explain(service, key)
	respond(w, e, err)
}

// changeHandler returns a handler that decodes a request strictly, makes the change and responds with the result.
func changeHandler[T any](s *Server, do func(context.Context, T) (Done, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req T
		if err := decodeStrict(io.LimitReader(r.Body, maxBodyBytes+1), &req); err != nil {
			respond(w, nil, errors.Wrap(ErrBadRequest, err.Error()))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
		defer cancel()
		done, err := do(ctx, req)
		if err != nil {
			respondFailure(w, err, s.Document().Revision)
			return
		}
		respond(w, done, nil)
	}
}

// decodeStrict decodes a single JSON value. It rejects unknown fields, trailing data and bodies over maxBodyBytes.
func decodeStrict(r io.Reader, v any) error {
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if len(body) > maxBodyBytes {
		return errors.Errorf("the body exceeds %d bytes", maxBodyBytes)
	}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("trailing data after the JSON value")
	}
	return nil
}

// failureKind maps an error to its name in Failure and its HTTP status.
type failureKind struct {
	err    error
	name   string
	status int
}

var failureKinds = []failureKind{
	{ErrCredential, "Credential", http.StatusUnauthorized},
	{ErrConflict, "Conflict", http.StatusConflict},
	{sequoiatable.ErrStaleConfiguration, "Conflict", http.StatusConflict},
	{ErrNotFound, "NotFound", http.StatusNotFound},
	{ErrBadRequest, "BadRequest", http.StatusBadRequest},
	{sequoiatable.ErrShardCount, "BadRequest", http.StatusBadRequest},
	{sequoiatable.ErrMalformed, "BadRequest", http.StatusBadRequest},
	{ErrMemberAlive, "MemberAlive", http.StatusConflict},
	{ErrUnknownResult, "UnknownResult", http.StatusGatewayTimeout},
	{context.DeadlineExceeded, "UnknownResult", http.StatusGatewayTimeout},
	{context.Canceled, "UnknownResult", http.StatusGatewayTimeout},
}

func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		respondFailure(w, err, 0)
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func respondFailure(w http.ResponseWriter, err error, revision uint64) {
	kind := failureKind{name: "Internal", status: http.StatusInternalServerError}
	for _, k := range failureKinds {
		if errors.Is(err, k.err) {
			kind = k
			break
		}
	}
	writeJSON(w, kind.status, Failure{Error: kind.name, Message: err.Error(), Revision: revision})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
