package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// backoffTimeout converts a setting in seconds to a duration and doubles it
// steps times.
func backoffTimeout(seconds float64, steps int) time.Duration {
	return config.Seconds(seconds) << steps
}

// failureMessage returns the message of the error response for k.
func failureMessage(k failure.Kind) string {
	switch k {
	case failure.DeadlinePassed:
		return "the deadline passed before the request could run"
	case failure.Overloaded:
		return "too much work waits here; try again after the time in Retry-After, or at another entry"
	case failure.RateLimited:
		return "the workspace has used its tokens; try again after the time in Retry-After"
	case failure.NoUpstream:
		return "no upstream that may take this request is reachable"
	case failure.PlatformDown:
		return "the platform can't be reached, and without it a request that may not be repeated is not started"
	case failure.LedgerFull:
		return "the ledger of requests that may not be repeated is full; see docs/OPERATORS.md"
	case failure.KeyReused:
		return "this Idempotency-Key was used with another body; use a new key for a new request"
	case failure.Quarantined:
		return "this request has crashed the upstreams that ran it and is not run again"
	case failure.OutcomeUnknown:
		return "the request may have run and its answer is lost; it will not be run again under this key"
	case failure.UpstreamFailed:
		return "the upstreams that ran this request failed"
	case failure.CallerGone:
		return "the connection was closed before the response; whether the request has run is unknown"
	case failure.StreamLost:
		return "the stream can't be continued; start the request anew"
	default:
		return k.String()
	}
}

// encodeError returns the JSON body of an error response.
func encodeError(id string, k failure.Kind, msg string) []byte {
	a := k.Response()
	b, _ := json.Marshal(wire.ErrorBody{Error: wire.ErrorDetail{
		Kind: a.Name, Message: msg, RequestID: id,
		NotRun: a.Verdict == failure.NotRun, OutcomeUnknown: a.Verdict == failure.Unknown,
	}})
	return b
}

// refuse logs and counts a failed request and writes the error response for k.
func (f *Front) refuse(w http.ResponseWriter, id string, k failure.Kind, msg string) {
	a := k.Response()
	f.meter.RecordRefusal(k)
	f.log.WithFields(logrus.Fields{"event": "requestRefused", "request": id, "kind": a.Name, "status": a.Status}).Info(msg)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(wire.HeaderRequest, id)
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((a.RetryAfter+time.Second-1)/time.Second)))
	}
	body := encodeError(id, k, msg)
	w.Header().Set("Content-Length", strconv.Itoa(len(body))) // it is complete before the handler returns, which may read on
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
