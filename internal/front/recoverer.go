package front

import (
	"context"
	"net/http"
	"runtime/debug"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/discarder"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// startedWriter records whether a response has begun.
type startedWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recoverer answers requests whose handler panics. A response that has begun is cut, as is
// that of a handler that panics with http.ErrAbortHandler.
func (f *Front) recoverer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w := &startedWriter{ResponseWriter: rw}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler {
				panic(v)
			}
			id := uuid.NewString()
			f.log.WithFields(logrus.Fields{"event": "handlerPanic", "request": id, "panic": v, "stack": string(debug.Stack())}).
				Error("panic while handling a request")
			if w.started {
				panic(http.ErrAbortHandler)
			}
			const msg = "internal error; whether the request has run is unknown"
			if r.ContentLength == 0 {
				f.refuse(w, id, failure.Internal, msg)
				return
			}
			w.Header().Set("Connection", "close")
			f.refuse(w, id, failure.Internal, msg)
			discarder.New(f.clk).ReadLong(context.WithoutCancel(r.Context()), w, r) // the body may not have been read to its end
		}()
		next.ServeHTTP(w, r)
		if !w.started { // the server would answer 200
			panic("request ended without a response")
		}
	})
}
