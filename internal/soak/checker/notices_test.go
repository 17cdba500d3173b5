package checker_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
)

func TestNotices(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	request := func(id string, node, sent, ended int) checker.Request {
		return checker.Request{ID: id, Node: node, SentAt: at(sent), EndedAt: at(ended), Status: 200, Complete: true, Stamped: true}
	}
	bounds := checker.Bounds{Drain: 2 * time.Second, Settle: 3 * time.Second}
	for _, c := range []struct {
		name string
		h    checker.History
		want int // violations of drain and budget
	}{
		{"sent long after the notice", checker.History{
			Requests: []checker.Request{request("a", 0, 0, 100), request("b", 0, 2200, 2300)},
			Runs:     []checker.Run{{ID: "a", Upstream: "u", Leaving: true, Complete: true, StartedAt: at(10)}, {ID: "b", Upstream: "u", StartedAt: at(2210)}},
		}, 1},
		{"sent by a node that hasn't seen the notice", checker.History{
			Requests: []checker.Request{request("a", 0, 0, 100), request("b", 1, 2200, 2300)},
			Runs:     []checker.Run{{ID: "a", Upstream: "u", Leaving: true, Complete: true, StartedAt: at(10)}, {ID: "b", Upstream: "u", StartedAt: at(2210)}},
		}, 0},
		{"sent within the time to drain", checker.History{
			Requests: []checker.Request{request("a", 0, 0, 100), request("b", 0, 2000, 2300)},
			Runs:     []checker.Run{{ID: "a", Upstream: "u", Leaving: true, Complete: true, StartedAt: at(10)}, {ID: "b", Upstream: "u", StartedAt: at(2210)}},
		}, 0},
		{"three requests in the time", checker.History{
			Requests:  []checker.Request{request("a", 0, 0, 10), request("b", 0, 600, 700), request("c", 0, 700, 800), request("d", 0, 800, 900)},
			TurnAways: []checker.TurnAway{{ID: "a", Upstream: "u", At: at(5), For: 2 * time.Second}},
			Runs:      []checker.Run{{ID: "b", Upstream: "u", StartedAt: at(600)}, {ID: "c", Upstream: "u", StartedAt: at(700)}, {ID: "d", Upstream: "u", StartedAt: at(800)}},
		}, 1},
		{"two in the time, one after", checker.History{
			Requests:  []checker.Request{request("a", 0, 0, 10), request("b", 0, 600, 700), request("c", 0, 700, 800), request("d", 0, 2100, 2200)},
			TurnAways: []checker.TurnAway{{ID: "a", Upstream: "u", At: at(5), For: 2 * time.Second}},
			Runs:      []checker.Run{{ID: "b", Upstream: "u", StartedAt: at(600)}, {ID: "c", Upstream: "u", StartedAt: at(700)}, {ID: "d", Upstream: "u", StartedAt: at(2100)}},
		}, 0},
	} {
		got := 0
		for _, v := range checker.New(bounds).Check(&c.h) {
			if v.Rule == "drain" || v.Rule == "budget" {
				got++
			}
		}
		if got != c.want {
			t.Errorf("%s: %d violations, want %d", c.name, got, c.want)
		}
	}
}
