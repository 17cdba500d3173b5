package front

import (
	"net/http"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// lingerTimeout bounds the reading of the rest of a refused request.
const lingerTimeout = 500 * time.Millisecond

// readBodyInTime is readBody until the deadline of the request.
func (f *Front) readBodyInTime(w http.ResponseWriter, r *http.Request, j *job) error {
	if r.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(j.deadline) // fails only if the connection is closed
	err := f.readBody(r, j)
	// From the end of the body on, the server reads to detect that the caller disconnects, and
	// would take a deadline that passes for that.
	_ = rc.SetReadDeadline(time.Time{})
	if !f.clk.Now().Before(j.deadline) {
		return failure.New(failure.RequestTimeout, "the body hadn't arrived when the time of the request was over; send it faster, or set a later deadline")
	}
	return err
}

// closeUnread closes the connection of a request whose body may not have been read to its
// end, once it is refused. The server reads on for a while, since a connection that is closed
// with bytes unread is reset, which may cost the caller the refusal.
func (f *Front) closeUnread(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(f.clk.Now().Add(lingerTimeout)) // fails only if the connection is closed
}
