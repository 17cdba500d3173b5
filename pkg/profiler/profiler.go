// Package profiler learns how fast the engines of a pool are in relation to each other, from
// the time that they take to the first event of a response.
package profiler

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which samples fade. At half a dozen prompts a second
	// and engine, a few dozen samples count, and an engine that turns slow is noticed within
	// seconds.
	memory = 10 * time.Second
	// pauseMemory is the same for pauses: only few streams miss their objective.
	pauseMemory = 20 * time.Second
	// priorOutput is the weight, in tokens of output, of the assumption that pauses at an engine
	// are those of its pool.
	priorOutput = 1000
	// priorSamples is the weight, in samples, of the assumption that an engine is as fast as
	// its pool. Single stalls don't change the speed of an engine with few samples.
	priorSamples = 3
	// minPoolSamples is the number of samples of a pool below which all its engines count as
	// equally fast.
	minPoolSamples = 60
	// tolerance is the difference of logarithms from the pool up to which an engine counts as
	// equally fast: sampling errors alone reach this size with a few dozen samples.
	tolerance = 0.15
	// maxExcess bounds how much longer than expected a sample counts. A stall says that an engine
	// stalls, but not by how much it is slower.
	maxExcess = 4
	// minPrefillShare is the smallest expected prefill of a sample that tells the speed of its
	// engine, relative to the fixed part of the time.
	minPrefillShare = 0.3
	// maxTokens and maxFirstMS bound the values of a sample. Larger ones are of a malformed message;
	// the squares of such values would outweigh all others for many time constants.
	maxTokens, maxFirstMS = 1 << 22, 600_000
)

// Sample is the first event of one response to a prompt that was sent to an engine with a
// short queue.
type Sample struct {
	Upstream uint32
	// Misses is the number of tokens that the engine had to prefill.
	Misses int
	// FirstMS is the time from the send to the first event in milliseconds.
	FirstMS int
}

// PauseSample tells whether the stream of one response had a pause that missed its objective.
type PauseSample struct {
	Upstream uint32
	// Output is the expected output of the request in tokens.
	Output int
	Late   bool
}

// pauses counts the streams that missed their pause objective for each token of expected
// output, as fading sums.
type pauses struct {
	at           time.Time
	late, output float64
}

func (c *pauses) add(now time.Time, s PauseSample) {
	f := fade(c.at, now, pauseMemory)
	c.at, c.late, c.output = now, f*c.late, f*c.output+float64(s.Output)
	if s.Late {
		c.late++
	}
}

// mean is the mean of fading samples.
type mean struct {
	at     time.Time
	n, sum float64
}

func (m *mean) add(now time.Time, v float64) {
	f := fade(m.at, now, memory)
	m.at, m.n, m.sum = now, f*m.n+1, f*m.sum+v
}

func (m *mean) mean() float64 { return m.sum / max(1, m.n) }

// shrunk returns the mean at now together with priorSamples samples of the value prior.
func (m *mean) shrunk(now time.Time, prior float64) float64 {
	f := fade(m.at, now, memory)
	return (f*m.sum + priorSamples*prior) / (f*m.n + priorSamples)
}

// pool is the linear model of the time to the first event over the misses of the samples of
// one service, as fading sums. slowness is the mean logarithm of how much longer than expected
// the prefill of the samples took.
type pool struct {
	at               time.Time
	n, x, xx, y, xy  float64
	intercept, slope float64
	fitted           bool
	slowness         mean
	pauses           pauses
	engines          map[uint32]*engine
}

// engine has the slowness and the pauses of one engine's samples.
type engine struct {
	slowness mean
	pauses   pauses
}

// Profiler holds what is known of the engines of all services. It is not safe for concurrent
// use.
type Profiler struct {
	pools   map[string]*pool
	service map[uint32]string // of each engine
}

// New returns a Profiler without samples.
func New() *Profiler { return &Profiler{pools: map[string]*pool{}, service: map[uint32]string{}} }

// SetEngines replaces the engines: the service of each one, by key. What is known of an
// engine that is still listed is kept.
func (p *Profiler) SetEngines(service map[uint32]string) {
	p.service = service
	for name, pl := range p.pools {
		for key := range pl.engines {
			if service[key] != name {
				delete(pl.engines, key)
			}
		}
	}
}

// Record adds a sample. Samples of unknown engines, and implausible ones, are dropped.
func (p *Profiler) Record(now time.Time, s Sample) {
	name, ok := p.service[s.Upstream]
	if !ok || s.FirstMS <= 0 || s.FirstMS > maxFirstMS || s.Misses < 0 || s.Misses > maxTokens {
		return
	}
	p.pool(name).record(now, s)
}

// RecordPauses adds a sample. Samples of unknown engines, and implausible ones, are dropped.
func (p *Profiler) RecordPauses(now time.Time, s PauseSample) {
	name, ok := p.service[s.Upstream]
	if !ok || s.Output <= 0 || s.Output > maxTokens {
		return
	}
	pl := p.pool(name)
	pl.pauses.add(now, s)
	pl.engine(s.Upstream).pauses.add(now, s)
}

func (p *Profiler) pool(name string) *pool {
	pl := p.pools[name]
	if pl == nil {
		pl = &pool{engines: map[uint32]*engine{}}
		p.pools[name] = pl
	}
	return pl
}

func (pl *pool) engine(key uint32) *engine {
	e := pl.engines[key]
	if e == nil {
		e = &engine{}
		pl.engines[key] = e
	}
	return e
}

// LateRate returns how many streams miss their pause objective at an engine for each token of
// expected output.
func (p *Profiler) LateRate(now time.Time, key uint32) float64 {
	pl := p.pools[p.service[key]]
	if pl == nil || pl.pauses.output == 0 {
		return 0
	}
	rate := pl.pauses.late / pl.pauses.output
	e := pl.engines[key]
	if e == nil {
		return rate
	}
	f := fade(e.pauses.at, now, pauseMemory)
	return (f*e.pauses.late + priorOutput*rate) / (f*e.pauses.output + priorOutput)
}

func (pl *pool) record(now time.Time, s Sample) {
	x, y := float64(s.Misses), float64(s.FirstMS)
	if pl.fitted {
		y = min(y, maxExcess*(pl.intercept+pl.slope*x))
	}
	f := fade(pl.at, now, memory)
	pl.at = now
	pl.n, pl.x, pl.xx, pl.y, pl.xy = f*pl.n+1, f*pl.x+x, f*pl.xx+x*x, f*pl.y+y, f*pl.xy+x*y
	pl.fit()
	prefill := pl.slope * x
	if !pl.fitted || prefill < minPrefillShare*pl.intercept {
		return
	}
	// The fixed part is the same at all engines. The logarithm makes twice as fast as large a
	// difference as half as fast.
	limit := math.Log(maxExcess)
	slowness := min(limit, max(-limit, math.Log(max(1, y-pl.intercept)/prefill)))
	pl.slowness.add(now, slowness)
	pl.engine(s.Upstream).slowness.add(now, slowness)
}

// fit computes the least-squares line through the samples.
func (pl *pool) fit() {
	pl.fitted = false
	if pl.n < minPoolSamples {
		return
	}
	pl.slope, pl.intercept = 0, pl.y/pl.n
	if d := pl.n*pl.xx - pl.x*pl.x; d > 0 {
		if slope := (pl.n*pl.xy - pl.x*pl.y) / d; slope > 0 {
			pl.slope, pl.intercept = slope, (pl.y-slope*pl.x)/pl.n
		}
	}
	if pl.intercept < 0 {
		pl.intercept, pl.slope = 0, pl.y/max(1, pl.x)
	}
	pl.fitted = true
}

// Speed returns the speed of an engine relative to its pool, 1 if it is as fast or if that
// isn't known yet.
func (p *Profiler) Speed(now time.Time, key uint32) float64 {
	pl := p.pools[p.service[key]]
	if pl == nil || !pl.fitted {
		return 1
	}
	e := pl.engines[key]
	if e == nil {
		return 1
	}
	speed := pl.slowness.mean() - e.slowness.shrunk(now, pl.slowness.mean())
	if math.Abs(speed) < tolerance {
		return 1
	}
	return math.Exp(speed)
}

// fade returns the weight that sums of the time at have at now, given their time constant.
func fade(at, now time.Time, memory time.Duration) float64 {
	if at.IsZero() || !now.After(at) {
		return 1
	}
	return math.Exp(-float64(now.Sub(at)) / float64(memory))
}
