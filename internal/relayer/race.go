package relayer

import (
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/pkg/hedger"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// errHedgeLost is the cancellation cause of an attempt after the other one has responded.
const errHedgeLost = errors.ConstError("another attempt of the request has responded")

// response is the outcome of an attempt up to its response head or, for a stream, its first
// event. The zero value means that there was no attempt.
type response struct {
	x       *connector.Exchange // nil unless opened, and once it is closed
	info    ResponseInfo
	outcome connector.Outcome
	err     error
}

// hasRun reports whether the upstream says that it has run the request.
func (a *response) hasRun() bool {
	return a.outcome == connector.Opened && !a.info.NotRun && !a.info.Misdirected && a.info.Stamped
}

// decides reports whether the response may decide the race: the upstream has run the request
// and didn't fail.
func (a *response) decides() bool { return a.hasRun() && a.x.Status < http.StatusInternalServerError }

// isServerError reports whether the upstream has run the request and failed. The caller gets
// that response if no attempt has another one.
func (a *response) isServerError() bool {
	return a.hasRun() && a.x != nil && a.x.Status >= http.StatusInternalServerError
}

// sends returns 1 if something of the attempt was sent.
func (a *response) sends() int {
	if a.outcome == connector.Opened || a.outcome == connector.Broken {
		return 1
	}
	return 0
}

// runs returns 1 if the attempt may have been run.
func (a *response) runs() int {
	if a.outcome == connector.Opened && (a.info.NotRun || a.info.Misdirected) {
		return 0
	}
	return a.sends()
}

// excludes reports whether the request isn't sent to the upstream of a failed attempt again.
func (a *response) excludes() bool {
	return a.runs() > 0 || a.outcome == connector.NotSent && !errors.Is(a.err, errNotPermitted)
}

// race decides which of the two attempts of a hedged request responds. Each attempt has its
// own copy of the request's state until both have ended or have a response.
type race struct {
	first, second *relay
	delay         time.Duration  // from the send of the first attempt to that of the second
	basis         hedger.Request // what the start of the second attempt rests on

	mu      sync.Mutex
	winner  *relay // nil until decided
	started bool   // the second attempt may be on its way
	// firstFailed and secondFailed are set for attempts that failed before the other one
	// won.
	firstFailed, secondFailed bool
}

// newRace prepares the second attempt of u, as if the first one had failed.
func newRace(u *relay, delay time.Duration) *race {
	second := *u
	second.sends, second.runs = u.sends+1, u.runs+1
	second.exclude = append(u.exclude[:len(u.exclude):len(u.exclude)], u.choice.Incarnation())
	second.running = false // only the first attempt is
	second.silence = newSilenceWatch(u.ctx, u.r.Clock)
	return &race{first: u, second: &second, delay: delay}
}

// claim makes an attempt the winner unless the other one has won, and cancels the other
// one, whose connection is then closed. It reports whether the attempt has won.
func (c *race) claim(u *relay) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winner == nil {
		c.setWinner(u)
	}
	return c.winner == u
}

// setWinner requires c.mu to be held.
func (c *race) setWinner(u *relay) {
	c.winner = u
	if u == c.first {
		c.second.silence.cancel(errHedgeLost)
	} else {
		c.first.silence.cancel(errHedgeLost)
	}
}

// start reports whether the second attempt may start.
func (c *race) start() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = c.winner == nil
	return c.started
}

// failFirst records that the first attempt has failed, unless the second one has won. It
// reports whether the request waits for the second attempt, which otherwise never starts.
func (c *race) failFirst() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winner != nil {
		return false
	}
	c.firstFailed = true
	if !c.started {
		c.setWinner(c.first)
	}
	return c.started
}

// failSecond records that the second attempt has failed, and reports false if the first one
// has won.
func (c *race) failSecond() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.secondFailed = c.winner == nil
	return c.secondFailed
}

// run makes both attempts and returns the response with which the request continues in
// c.first.
func (c *race) run(q *placer.Query) response {
	u := c.first
	var g errgroup.Group
	var b response
	g.Go(func() error {
		b = c.runSecond()
		return nil
	})
	finished := false
	defer func() {
		if !finished { // a panic
			c.claim(u)
			_ = g.Wait()
			c.second.drop(&b)
			c.second.silence.end()
		}
	}()
	a := u.await(q)
	u.silence.disarm()
	if a.decides() {
		c.claim(u)
	} else if c.failFirst() && !a.isServerError() {
		u.settle(&a)
	}
	_ = g.Wait() // the attempts return no error
	out := c.finish(a, b)
	finished = true
	return out
}

// runSecond makes the second attempt once it is due.
func (c *race) runSecond() (b response) {
	s := c.second
	defer func() {
		if v := recover(); v != nil { // it would end the process
			s.r.Log.WithFields(logrus.Fields{
				"event": "hedgePanic", "request": s.req.ID, "panic": v, "stack": string(debug.Stack()),
			}).Error("panic in a hedged attempt; the first one goes on")
			if b = (response{}); s.running {
				b.outcome = connector.Broken
				s.endRun()
			}
			s.silence.end() // closes the connection
		}
	}()
	if !s.sleepUntilDue(c.delay) {
		return response{}
	}
	q, ok := c.reserve()
	if !ok {
		return response{}
	}
	b = s.await(&q)
	s.silence.disarm()
	switch {
	case b.decides() && c.claim(s):
	case !c.failSecond():
		s.drop(&b)
	case !b.isServerError():
		s.settle(&b)
		if b.outcome == connector.NotSent {
			c.first.silence.setHedge("")
		}
	}
	return b
}

// finish returns the response with which the request continues, and ends the other attempt.
// A server error is returned only if no attempt has another response.
func (c *race) finish(a, b response) response {
	u, s := c.first, c.second
	if !c.started {
		s.silence.end()
		return a
	}
	result := hedgeLost
	if c.winner == s {
		result = hedgeWon
	}
	u.r.Meter.RecordHedge(result, noReason)
	if c.winner == s || c.winner == nil && b.isServerError() && !a.isServerError() {
		if c.firstFailed {
			u.settle(&a)
		} else {
			u.recordLatency() // at least that long
		}
		u.drop(&a)
		u.continueAs(s, &a, c.firstFailed)
		u.hedge = result
		return b
	}
	if c.secondFailed {
		s.settle(&b)
		if b.excludes() {
			u.exclude = append(u.exclude, s.choice.Incarnation())
		}
	}
	s.drop(&b)
	s.silence.end()
	u.silence.setHedge("") // counted in u from here on
	u.sends, u.runs, u.hedge = u.sends+b.sends(), u.runs+b.runs(), result
	return a
}

// continueAs continues the request with the second attempt. a is the response of the first
// one.
func (u *relay) continueAs(s *relay, a *response, failed bool) {
	sends, runs, exclude := u.sends+a.sends(), u.runs+a.runs(), u.exclude
	if failed && a.excludes() {
		exclude = append(exclude, u.choice.Incarnation())
	}
	u.silence.end()
	*u = *s
	u.sends, u.runs, u.exclude = sends, runs, exclude
}

// settle records how an attempt has failed, unless that is recorded already.
func (u *relay) settle(a *response) {
	switch a.outcome {
	case connector.NotSent:
		u.recordUnreachable(a.err)
		return
	case connector.Broken:
		u.recordBroken(a.err)
		return
	}
	u.recordAvailability(a.info)
	switch {
	case a.info.NotRun || a.info.Misdirected:
		u.recordRefusal(a.x.Status, a.info)
	case !a.info.Stamped:
		u.recordBroken(errUnstamped(a.x.Status))
	case u.running:
		u.endAttempt(func(p *placer.Placer, c placer.Choice) { p.RecordFailure(u.r.Clock.Now(), c) })
		u.logEntry("answerFailed").WithField("status", a.x.Status).Info("upstream returned a server error; another attempt of the request decides")
	}
}

// drop ends an attempt with which the request doesn't continue.
func (u *relay) drop(a *response) {
	u.endRun()
	if a.x != nil {
		a.x.Close()
		a.x = nil
	}
}
