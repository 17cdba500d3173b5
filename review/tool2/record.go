package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// record is the record of a case: what was sent, answered and run, one event a line.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &record{f: f, start: time.Now()}, nil
}

// add adds an event with its time since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.f, format+"\n", args...)
}

// say adds an event and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() { _ = r.f.Close() }

// suffix describes an error at the end of a line, if there is one.
func suffix(err error) string {
	if err == nil {
		return ""
	}
	return ", error: " + err.Error()
}
