package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// poisonHistory adds to a valid history a poison whose crashes are a second apart,
// the first one at 10 s, the given number of poison requests that run from 24 s on,
// and two sound requests a second from 1 s to 35 s. Those sent from 12 s to 31 s start
// in the given share.
func poisonHistory(part bool, crashes, late int, share float64) *checker.History {
	h := validHistory()
	p := &checker.Poison{Name: "p", Part: part, Route: "/stream/"}
	h.Poisons = []*checker.Poison{p}
	add := func(id string, poison *checker.Poison, sent time.Time, ran bool) {
		r := checker.Request{
			ID: id, Kind: traffic.Streaming, Resumable: true, MaxAttempts: 2, Target: "/stream/" + id, Route: "/stream/", Poison: poison,
			Method: "POST", Workspace: "w", Key: "k", SentAt: sent, EndedAt: sent.Add(100 * time.Millisecond), Incarnation: 1, Timeout: 4 * time.Second,
		}
		h.Requests = append(h.Requests, r)
		if ran {
			h.Runs = append(h.Runs, checker.Run{ID: id, Upstream: "up-a", Service: "a", StartedAt: sent.Add(10 * time.Millisecond), Workspace: "w", Method: "POST", Target: r.Target, Aborted: true})
		}
	}
	for i := range crashes {
		id := fmt.Sprint("crash-", i)
		add(id, p, at(10+float64(i)), true)
		h.Crashes = append(h.Crashes, checker.Crash{At: at(10 + float64(i)), RequestID: id})
	}
	for i := range late {
		add(fmt.Sprint("late-", i), p, at(24+0.1*float64(i)), true)
	}
	add("last", p, at(30.9), false)
	for i := range 68 {
		sent := 1 + 0.5*float64(i)
		add(fmt.Sprint("sound-", i), nil, at(sent), sent < 12 || sent > 31 || int(float64(i+1)*share) > int(float64(i)*share))
	}
	h.FaultsEndedAt, h.EndedAt = at(31), at(40)
	return h
}

// Guards against poison requests that keep crashing upstreams, and against a guard
// that rejects the sound requests which resemble them.
func TestPoison(t *testing.T) {
	disturbed := func(h *checker.History) {
		h.Disturbances = []checker.Disturbance{{Node: 0, From: at(19), To: at(30)}}
	}
	for _, c := range []struct {
		name          string
		part          bool
		crashes, late int
		share         float64
		change        func(h *checker.History)
		want          string // rule
	}{
		{name: "a part reaches upstreams three times after the fifth crash", part: true, crashes: 5, late: 3, share: 1},
		{name: "a part reaches upstreams four times after the fifth crash", part: true, crashes: 5, late: 4, share: 1, want: "budget"},
		{name: "four times, after four crashes", part: true, crashes: 4, late: 4, share: 1},
		{name: "four times, from a disturbed node", part: true, crashes: 5, late: 4, share: 1, change: disturbed},
		{name: "four times, soon after the fifth crash", part: true, crashes: 5, late: 4, share: 1, change: func(h *checker.History) {
			h.Crashes[4].At = at(22)
		}},
		{name: "a request reaches upstreams three times after the third crash", crashes: 3, late: 3, share: 1},
		{name: "a request reaches upstreams four times after the third crash", crashes: 3, late: 4, share: 1, want: "budget"},
		{name: "a request reaches upstreams four times, after two crashes", crashes: 2, late: 4, share: 1},
		{name: "half of the sound requests start", part: true, crashes: 5, share: 0.5},
		{name: "two in five sound requests start", part: true, crashes: 5, share: 0.4, want: "lost"},
		{name: "two in five sound requests start after one crash", part: true, crashes: 1, share: 0.4, want: "lost"},
		{name: "two in five start of those that resemble a whole request", crashes: 3, share: 0.4},
		{name: "two in five start, on a disturbed node", part: true, crashes: 5, share: 0.4, change: disturbed},
		{name: "two in five start, on another route", part: true, crashes: 5, share: 0.4, change: func(h *checker.History) {
			h.Poisons[0].Route = "/once/"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := poisonHistory(c.part, c.crashes, c.late, c.share)
			if c.change != nil {
				c.change(h)
			}
			v := checker.New(bounds).Check(h)
			if got := len(v) == 1 && v[0].Rule == c.want; got != (c.want != "") || c.want == "" && len(v) > 0 {
				t.Errorf("violations %v, want rule %q", v, c.want)
			}
		})
	}
}
