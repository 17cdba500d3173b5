package limiter

import "math"

const (
	// relaxation is the time in which the admitted requests bring the level back to its
	// target, in seconds. It has to exceed the lag of the control, up to 0.6 s (a report of
	// 100 ms and a summary of 500 ms), or else the level oscillates.
	relaxation = 0.7
	// riseTime and fallTime are the time constants of the averages of what is asked, in
	// seconds. A rise is followed within two reports and a flush, a fall slowly.
	riseTime, fallTime = 0.25, 1.0
	// sizeTime is the time constant of the average size of a request.
	sizeTime = 30.0
	// sizeAllowance is how many requests of the average size a level may be below zero
	// before requests are refused, and burstAllowance bounds that in bursts. Requests arrive
	// at random: a workspace whose burst holds two of them would else be refused at ordinary
	// demand. It is half of the smallest tolerance, 8 requests; the lag takes the other half.
	sizeAllowance, burstAllowance = 4.0, 2.0
	// quotaWindow is the window in which the work for a workspace is counted, in seconds. A
	// new bucket grants the allowance in the course of one, since it may have been used before
	// a restart. A request costs at most the rate of one: a larger number, probably a wrong
	// one, would block the workspace for long.
	quotaWindow = 8.0
	// maxDebt bounds how far a level may be below zero, in seconds of the rate. Surges reach a few
	// seconds and a partition less than nodeTTL, so that only a wrong counter of a peer exceeds it.
	maxDebt = nodeTTL
	// noiseMargin is the number of standard deviations by which the fast average of what is
	// asked has to exceed a random fluctuation.
	noiseMargin = 1.0
)

// bucket is the state of one limited workspace. The fields that a summary reads come first, so
// that they share cache lines.
type bucket struct {
	rate, burst float64
	// The bucket of the fleet, on nodes that receive all reports. level is what is left of
	// the burst; refilled is the integral of the share when it was last refilled.
	level, refilled float64
	// fast and slow are averages of the asked rate at askedAt.
	fast, slow, askedAt float64
	// sentFraction is the admitted fraction that the other nodes know.
	sentFraction float64
	active       bool // in Limiter.active
	shortage     bool // recorded as entered
	shortAt      float64
	// requests, sizes and squares are sums over requests and their costs, of which older ones
	// count less.
	requests, sizes, squares float64
	since                    float64 // when the bucket was new

	name string
	id   uint32

	// What the summary with the number listedIn said.
	listedIn               uint64
	heardLevel, heardAsked float64

	// The node's own share of the rate, used without a summary.
	shareLevel, shareAt float64

	usage ownUsage
}

// charged returns what a request of a cost is charged, nothing if the cost is not a number: it would
// stay in all sums of the bucket.
func (b *bucket) charged(cost float64) float64 {
	if math.IsNaN(cost) {
		return 0
	}
	return max(0, min(cost, b.rate*quotaWindow))
}

// advance refills the level, and bounds it.
func (b *bucket) advance(l *Limiter, t float64) {
	refilled := l.refilled(t)
	b.level = max(-maxDebt*b.rate, min(b.level+b.rate*(refilled-b.refilled), b.burst*l.share))
	b.refilled = refilled
}

// decay lets the averages fall up to t.
func (b *bucket) decay(t float64) {
	dt := t - b.askedAt
	if dt <= 0 {
		return
	}
	slow := math.Exp(-dt / fallTime)
	b.slow *= slow
	b.fast *= math.Exp(-dt / riseTime)
	size := math.Exp(-dt / sizeTime)
	b.requests *= size
	b.sizes *= size
	b.squares *= size
	b.askedAt = t
}

// ask counts requests with a total cost in the averages.
func (b *bucket) ask(t, requests, cost float64) {
	b.decay(t)
	b.fast += cost / riseTime
	b.slow += cost / fallTime
	b.requests += requests
	b.sizes += cost
	b.squares += cost * cost / max(1, requests)
}

func (b *bucket) setAsked(t, rate float64) { b.fast, b.slow, b.askedAt = rate, rate, t }

// allowance returns how far the level may be below zero before requests are refused.
func (b *bucket) allowance() float64 {
	if b.requests <= 0 {
		return 0
	}
	return min(sizeAllowance*b.sizes/b.requests, burstAllowance*b.burst) * min(1, (b.askedAt-b.since)/quotaWindow)
}

// asked returns the rate that is asked for, at askedAt.
func (b *bucket) asked() float64 {
	if b.sizes <= 0 {
		return b.slow
	}
	noise := math.Sqrt(b.fast * b.squares / b.sizes / (2 * riseTime))
	return max(b.slow, b.fast-noiseMargin*noise)
}

// room returns the rate at which requests may be admitted so that the level returns to its
// target within the relaxation time.
func (b *bucket) room(share float64) float64 {
	return b.rate*share + (b.level+b.allowance()*share)/relaxation
}

// fraction returns the share of requests to admit.
func (b *bucket) fraction(share float64) float64 { return fraction(b.room(share), b.asked()) }

func fraction(room, asked float64) float64 {
	if asked <= room {
		return 1
	}
	return max(0, room/asked)
}

// heardLevelAt returns the level a time after the last summary, if all nodes admit the fraction
// that follows from it.
func (b *bucket) heardLevelAt(dt float64) float64 {
	level := b.heardLevel
	if lowest := -b.rate * relaxation; level < lowest { // no request is admitted
		if wait := (lowest - level) / b.rate; dt > wait {
			level, dt = lowest, dt-wait
		} else {
			return level + b.rate*dt
		}
	}
	return level * math.Exp(-dt/relaxation)
}

// takeShare returns what is left of this node's own share, and spends up to cost of it. A request
// larger than that is admitted with the probability of its part. The part is spent either way, so
// that on average no more is admitted than the share.
func (b *bucket) takeShare(t, cost, nodes float64) float64 {
	b.advanceShare(t, nodes)
	level := b.shareLevel
	b.shareLevel = max(0, level-cost)
	return level
}

func (b *bucket) returnShare(t, cost, nodes float64) {
	b.advanceShare(t, nodes)
	b.shareLevel = min(b.shareLevel+cost, b.burst/nodes)
}

func (b *bucket) advanceShare(t, nodes float64) {
	b.shareLevel = min(b.shareLevel+b.rate/nodes*max(0, t-b.shareAt), b.burst/nodes)
	b.shareAt = max(t, b.shareAt)
}
