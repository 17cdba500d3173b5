package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/platform/translate"
)

const (
	registrationUsers = 10
	// userTime is how long a requester stays until a new one takes its place.
	userTime      = 6 * time.Second
	requestPause  = 200 * time.Millisecond
	beforeFault   = 10 * time.Second
	downTime      = 800 * time.Millisecond
	recoverBound  = 12 * time.Second
	judgedTime    = 40 * time.Second
	lostWindow    = 4500 * time.Millisecond
	lateExecution = 4 * time.Second
	// One write in lostPeriod of each machine is lost, the one with number lostIndex first.
	lostPeriod = 5
	lostIndex  = 2
)

// lossyStore loses answers to writes for some time, and does these writes late.
type lossyStore struct {
	fleet *fleet

	mu     sync.Mutex
	until  time.Time
	writes map[string]int // of a machine since the window began
	all    int
	lost   int
}

func (s *lossyStore) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until, s.writes = time.Now().Add(lostWindow), map[string]int{}
	s.fleet.record.printf("store: loses one answer to a write in %d of each machine for %v; these writes are done %v late", lostPeriod, lostWindow, lateExecution)
}

// loses counts a write and reports whether its answer is lost.
func (s *lossyStore) loses(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.until) {
		return false
	}
	s.all++
	s.writes[machine]++
	if s.writes[machine]%lostPeriod != lostIndex {
		return false
	}
	s.lost++
	return true
}

func (s *lossyStore) wrap(m *machine, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || !s.loses(m.name) {
			if r.Method != http.MethodGet {
				s.fleet.record.printf("store: %s %s of %s is answered", r.Method, r.URL.Path, m.name)
			}
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.fleet.record.printf("store: %s %s of %s: the answer is lost", r.Method, r.URL.Path, m.name)
		late := httptest.NewRequestWithContext(s.fleet.ctx, r.Method, r.URL.String(), bytes.NewReader(body))
		time.AfterFunc(lateExecution, func() {
			answer := httptest.NewRecorder()
			h.ServeHTTP(answer, late)
			s.fleet.record.printf("store: %s %s of %s is done late, status %d", late.Method, late.URL.Path, m.name, answer.Code)
		})
		<-r.Context().Done() // nothing further comes on this channel
	})
}

// registrationCase kills all processes. While they register again, the store loses answers.
func registrationCase(f *fleet, trouble bool) (bool, error) {
	if err := f.configure(1); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := f.startEngine(fmt.Sprintf("i-%d", i)); err != nil {
			return false, err
		}
	}
	store := &lossyStore{fleet: f, writes: map[string]int{}}
	f.wrap = store.wrap
	if err := f.startMachines(); err != nil {
		return false, err
	}
	t := &tally{}
	stop := make(chan struct{})
	var users sync.WaitGroup
	for range registrationUsers {
		users.Go(func() { t.runUsers(f, stop) })
	}
	defer func() { close(stop); users.Wait() }()
	time.Sleep(3 * time.Second) // the fleet settles
	servedBefore, allBefore := t.during(beforeFault)
	f.record.printf("before the final fault: %d of %d requests served", servedBefore, allBefore)
	if trouble {
		for _, m := range f.machines {
			m.kill("all processes are killed")
		}
		store.begin()
		time.Sleep(downTime)
		for _, m := range f.machines {
			if err := m.start(); err != nil {
				return false, err
			}
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(recoverBound)
	served, all := t.during(judgedTime)
	if err := f.waitReady(); err != nil {
		return false, err
	}
	f.record.printf("store: %d of %d writes in the window had no answer", store.lost, store.all)
	f.record.printf("later than %v after the machines were back: %d of %d requests served (less than a quarter breaks RECOVER)", recoverBound, served, all)
	return served*4 < all && servedBefore*4 >= allBefore, nil
}

// tally counts requests.
type tally struct{ served, all counter }

// during returns the requests of a time that begins now.
func (t *tally) during(d time.Duration) (served, all int) {
	served, all = t.served.get(), t.all.get()
	time.Sleep(d)
	return t.served.get() - served, t.all.get() - all
}

// runUsers sends the requests of one requester after the other.
func (t *tally) runUsers(f *fleet, stop <-chan struct{}) {
	begun := time.Now().Add(-time.Duration(rand.Int64N(int64(userTime))))
	q := &requester{fleet: f}
	defer func() { q.close() }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(requestPause):
		}
		if time.Since(begun) > userTime {
			q.close()
			q, begun = &requester{fleet: f}, time.Now()
		}
		headers := fmt.Sprintf("%s: %s\r\n%s: 826,2\r\n%s: %x:198,%x:628\r\n", translate.HeaderModel, model,
			translate.HeaderTokenUsage, translate.HeaderPromptParts, rand.IntN(50), rand.Uint64())
		o, err := q.send(http.MethodPost, "/stitch/q?events=2", []byte("question"), headers, streamLimit)
		t.all.add(1)
		switch {
		case err != nil:
			f.record.printf("requester: a request can't be sent: %v", err)
		case o.complete && o.status == http.StatusOK:
			t.served.add(1)
			f.record.printf("requester: %s to %s is served", o.id, o.address)
		default:
			f.record.printf("requester: %s to %s: status %d, complete %t, channel closed %t", o.id, o.address, o.status, o.complete, o.closed)
		}
	}
}
