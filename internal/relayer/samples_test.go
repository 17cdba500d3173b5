package relayer_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/budgeter"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const pauseObjective = 200 * time.Millisecond

// slowReply is the response to a caller that takes a while to read each part.
type slowReply struct {
	reply
	delay time.Duration
}

func (r *slowReply) Write(p []byte) error {
	time.Sleep(r.delay)
	return r.reply.Write(p)
}

// samplesOfStream returns the samples of one stream to a caller that delays each write.
func samplesOfStream(t *testing.T, learn bool, delay time.Duration, script testlib.Script) placer.Samples {
	t.Helper()
	b := newFixtureWithSettings(t, systemclock.New(), relayer.Settings{
		DataCentre: "a", MaxProofAge: maxProofAge, VersionCutoff: time.Hour, LearnEngineSpeeds: learn,
		RetryBudget: budgeter.Limits{Ratio: 1, Window: 10 * time.Second, Allowance: 100},
	}, script)
	c := catalog(2, "key")
	for i := range c.Routes {
		c.Routes[i].Timeout, c.Routes[i].PauseObjective = unlimited, pauseObjective
	}
	b.fleet.set(c, b.boot.Elapsed())
	r := &slowReply{delay: delay}
	b.relay.Serve(t.Context(), &relayer.Request{
		ID: "id", Method: "POST", Target: "/stream/", Path: "/stream/", Host: "h", Key: "key", Timeout: unlimited, Arrived: time.Now(),
		Prompt: &traffic.Prompt{Model: "m", Tokens: 1000, MaxOutput: 10, Parts: []traffic.Part{{ID: "a", Tokens: 1000}}},
	}, r)
	if r.status != 200 || r.aborted {
		t.Fatalf("status %d, %v", r.status, r.kind)
	}
	return b.relay.TakeReport().Samples
}

// stream returns a script that sends two events with a pause before each, in which it sends a
// comment every 50 ms if comments is set.
func stream(pause time.Duration, comments bool) testlib.Script {
	return func(conn net.Conn, r testlib.Received) bool {
		streamHead(conn, r)
		for id := 1; id <= 2; id++ {
			for end := time.Now().Add(pause); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if comments {
					fmt.Fprint(conn, "4\r\n: \n\n\r\n")
				}
			}
			event(conn, id)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
		return true
	}
}

// Guards against engines that count as slow since their callers read slowly, and against
// comments of a stalled engine that count as events.
func TestSamplesTellOfTheEngine(t *testing.T) {
	const long = 2 * pauseObjective
	for name, c := range map[string]struct {
		delay  time.Duration // of the caller
		stream testlib.Script
		late   bool
		first  time.Duration // the shortest that is right
	}{
		"fast":                      {0, stream(0, false), false, 0},
		"slow engine":               {0, stream(long, false), true, long},
		"slow engine with comments": {0, stream(long, true), true, long},
		"slow caller":               {long, stream(pauseObjective/4, false), false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := samplesOfStream(t, true, c.delay, c.stream)
			if len(s.FirstEvents) != 1 || len(s.Pauses) != 1 {
				t.Fatalf("samples %+v", s)
			}
			if first := time.Duration(s.FirstEvents[0].FirstMS) * time.Millisecond; first < c.first || s.Pauses[0].Late != c.late {
				t.Errorf("first event after %v, late pause %v; want at least %v, %v", first, s.Pauses[0].Late, c.first, c.late)
			}
		})
	}
}

// Guards against samples of nodes that learn no speeds, which would only fill messages.
func TestNoSamplesUnlessSpeedsAreLearned(t *testing.T) {
	if s := samplesOfStream(t, false, 0, stream(0, false)); len(s.FirstEvents)+len(s.Pauses) > 0 {
		t.Errorf("samples %+v", s)
	}
}
