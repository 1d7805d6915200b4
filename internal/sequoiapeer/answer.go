package sequoiapeer

import "context"

// answerEnd holds the function to call when the response to a request has been written or is not written any more.
type answerEnd struct {
	f func()
}

// answerEndKey is the key of the answerEnd in the context of a request from another process.
type answerEndKey struct{}

// AfterAnswer sets the function that a Forwarder calls once the response to the request with this context has been written
// or was dropped, for example to release its memory. The handler calls it at most once for each request. It returns false if
// ctx is not the context of a request from another process; f is then not called.
func AfterAnswer(ctx context.Context, f func()) bool {
	end, ok := ctx.Value(answerEndKey{}).(*answerEnd)
	if ok {
		end.f = f
	}
	return ok
}

// run calls the function unless take has been called.
func (e *answerEnd) run() {
	if f := e.take(); f != nil {
		f()
	}
}

// take returns the function, which the caller then calls, or nil.
func (e *answerEnd) take() func() {
	f := e.f
	e.f = nil
	return f
}
