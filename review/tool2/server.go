package main

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

// server is a sound server of a plain service.
type server struct {
	id      string
	rec     *record
	work    time.Duration
	slots   int // 6 if 0
	runs    atomic.Int64
	respond func(h http.Header) // adds to the header of each answer; nil for nothing
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(translate.HeaderRequestID)
	h := w.Header()
	h.Set(translate.HeaderRequestID, id)
	h.Set(translate.HeaderUpstream, s.id)
	if expected := r.Header.Get(translate.HeaderExpectedUpstream); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.runs.Add(1)
	s.rec.add("%s runs at %s", id, s.id)
	time.Sleep(s.work)
	if s.respond != nil {
		s.respond(h)
	}
	h.Set(translate.HeaderStamp, "stamp-"+id)
	answer := "done " + id + "\n"
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// addServer starts a server of a plain service and registers it.
func (f *fleet) addServer(s *server, service, zone string) error {
	l, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return errors.Trace(err)
	}
	h := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = h.Serve(l) }()
	f.onStop(func() { _ = h.Close() })
	f.mu.Lock()
	f.ends[s.id] = func() { _ = h.Close() }
	f.mu.Unlock()
	return f.register(&traffic.Upstream{ID: s.id, StartedMS: time.Now().UnixMilli(), Service: service, Address: l.Addr().String(), DataCentre: zone, Slots: cmp.Or(s.slots, defaultSlots)})
}

// retire drains a server as in a release: it reports that it is draining, serves on for
// drain-ms and a little longer, and exits.
func (f *fleet) retire(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.servers {
		if u.ID == id {
			u.Draining = true
			f.beats++
			_ = f.op.Register(u, f.beats)
		}
	}
	end := f.ends[id]
	time.AfterFunc(drainTime+drainExtra, func() {
		f.mu.Lock()
		f.servers = slices.DeleteFunc(f.servers, func(u *traffic.Upstream) bool { return u.ID == id })
		f.op.Remove(id)
		f.mu.Unlock()
		end()
	})
}

const (
	defaultSlots = 6
	// drainTime is drain-ms, and drainExtra how much longer a server serves.
	drainTime  = 2 * time.Second
	drainExtra = 500 * time.Millisecond
)
