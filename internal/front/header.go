package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/closer"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// idleTimeout bounds how long a connection may wait for a request.
const idleTimeout = time.Minute

// bounds implements closer.Limits. The server itself limits the size of a header.
func (f *Front) bounds() closer.Bounds {
	return closer.Bounds{Idle: idleTimeout, Header: config.Seconds(f.limits.HeaderSeconds)}
}

// headerUnread implements closer.Limits.
func (f *Front) headerUnread(h closer.UnreadHeader) *http.Response {
	id := uuid.NewString()
	f.log.WithError(h.Err).WithFields(logrus.Fields{
		"event": "headerUnread", "request": id, "caller": h.Remote.String(), "bytes": h.Bytes, "waitedMs": h.Waited.Milliseconds(),
	}).Info("failed to read a request's header")
	a := failure.RequestTimeout.Response()
	body := encodeError(id, failure.RequestTimeout, "the header hadn't arrived in time; send it faster")
	return &http.Response{
		StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header:        http.Header{"Content-Type": {"application/json"}, wire.HeaderRequest: {id}},
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
}
