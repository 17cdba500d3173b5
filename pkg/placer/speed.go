package placer

import (
	"math"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/profiler"
)

const (
	// speedRefreshInterval is the age up to which the speeds of engines are used. Their
	// samples fade over seconds.
	speedRefreshInterval = 250 * time.Millisecond
	// maxSampledDelayMS is the queueing delay above which a first event tells more of the
	// queue than of the engine.
	maxSampledDelayMS = 60
	// maxSamples bounds the samples of each kind in a message to the peers.
	maxSamples = 64
)

// LearnSpeeds makes the Placer learn the speed of each engine from first events. Otherwise all
// engines count as equally fast.
func (p *Placer) LearnSpeeds() {
	p.profiler = profiler.New()
	p.profileEngines()
}

// profileEngines tells the profiler which engines there are.
func (p *Placer) profileEngines() {
	if p.profiler == nil {
		return
	}
	services := make(map[uint32]string, len(p.byKey))
	for key, s := range p.byKey {
		services[key] = s.up.Service
	}
	p.profiler.SetEngines(services)
}

// SpeedChange tells that an engine counts as faster or slower than before.
type SpeedChange struct {
	Incarnation string
	// Speed is relative to the engine's pool.
	Speed float64
}

// minSpeedChange is the smallest relative change of a speed that is told.
const minSpeedChange = 0.25

// TakeSpeedChanges returns the changes since the last call.
func (p *Placer) TakeSpeedChanges() []SpeedChange {
	out := p.speedChanges
	p.speedChanges = nil
	return out
}

// refreshSpeeds updates the speeds of all engines, at most once each speedRefreshInterval.
func (p *Placer) refreshSpeeds(now time.Time) {
	if p.profiler == nil || now.Sub(p.speedsAt) < speedRefreshInterval {
		return
	}
	p.speedsAt = now
	for _, s := range p.states {
		s.speed, s.lateRate = p.profiler.Speed(now, s.key), p.profiler.LateRate(now, s.key)
		if math.Abs(math.Log(s.speed/s.toldSpeed)) > minSpeedChange && len(p.speedChanges) < maxSamples {
			s.toldSpeed = s.speed
			p.speedChanges = append(p.speedChanges, SpeedChange{Incarnation: s.incarnation, Speed: s.speed})
		}
	}
}

// pauseCost returns the cost of the risk that a stream misses its pause objective at an engine.
// A late response has lost its value, which is one latency objective.
func (q *Query) pauseCost(lateRate float64) float64 {
	if lateRate == 0 {
		return 0
	}
	return -math.Expm1(-lateRate*float64(q.expectedOutput())) * float64(q.Objective) / float64(time.Millisecond)
}

// SampleFirstEvent records how long an engine took to the first event of a prompt that was
// sent to c.
func (p *Placer) SampleFirstEvent(now time.Time, c Choice, d time.Duration) {
	if p.profiler == nil || c.id == 0 || c.QueueingDelayMS > maxSampledDelayMS {
		return
	}
	s := profiler.Sample{Upstream: c.state.key, Misses: c.Misses, FirstMS: int(d.Milliseconds())}
	p.profiler.Record(now, s)
	if len(p.samples.FirstEvents) < maxSamples {
		p.samples.FirstEvents = append(p.samples.FirstEvents, s)
	}
}

// SamplePauses records whether a stream that ran at c alone missed its pause objective.
func (p *Placer) SamplePauses(now time.Time, c Choice, late bool) {
	if p.profiler == nil || c.output <= 0 {
		return
	}
	s := profiler.PauseSample{Upstream: c.state.key, Output: c.output, Late: late}
	p.profiler.RecordPauses(now, s)
	if len(p.samples.Pauses) < maxSamples {
		p.samples.Pauses = append(p.samples.Pauses, s)
	}
}

// Samples tell how fast engines are.
type Samples struct {
	FirstEvents []profiler.Sample
	Pauses      []profiler.PauseSample
}

// TakeSamples returns the samples since the last call, and clears them.
func (p *Placer) TakeSamples() Samples {
	out := p.samples
	p.samples = Samples{}
	return out
}

// MergeSamples adds the samples of a message of a peer, which has at most maxSamples of each kind.
func (p *Placer) MergeSamples(now time.Time, samples Samples) {
	if p.profiler == nil {
		return
	}
	for _, s := range samples.FirstEvents[:min(len(samples.FirstEvents), maxSamples)] {
		p.profiler.Record(now, s)
	}
	for _, s := range samples.Pauses[:min(len(samples.Pauses), maxSamples)] {
		p.profiler.RecordPauses(now, s)
	}
}
