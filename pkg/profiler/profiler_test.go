package profiler_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/profiler"
)

var start = time.Date(2026, 12, 6, 10, 0, 0, 0, time.UTC)

// play feeds a Profiler with the first events of engines of the given speeds, each of which
// gets a prompt every 400 ms, until the time that it returns. An engine stalls in 15 of 100
// stretches of 600 ms and then takes 2.5 times as long.
func play(p *profiler.Profiler, speeds []float64, from time.Time, d time.Duration) time.Time {
	const fixedMS, tokensPerMS, interval = 100, 60, 400 * time.Millisecond
	services := map[uint32]string{}
	for i := range speeds {
		services[uint32(i)] = "pool"
	}
	p.SetEngines(services)
	rnd := rand.New(rand.NewPCG(1, 2))
	stalled := make([]bool, len(speeds))
	now, stretch := from, time.Duration(0)
	for ; now.Sub(from) < d; now = now.Add(interval) {
		if stretch += interval; stretch >= 600*time.Millisecond {
			stretch = 0
			for i := range stalled {
				stalled[i] = rnd.Float64() < 0.15
			}
		}
		for i, speed := range speeds {
			misses := 200 + rnd.IntN(6000)
			ms := fixedMS + float64(misses)/(tokensPerMS*speed)*(0.8+0.4*rnd.Float64())
			if stalled[i] {
				ms *= 2.5
			}
			p.Record(now, profiler.Sample{Upstream: uint32(i), Misses: misses, FirstMS: int(ms)})
		}
	}
	return now
}

// Load: a pool with engines at 0.6, 1.0 and 1.6 times the nominal speed. Guards against slow
// engines getting as many prompts as fast ones.
func TestSpeedsOfUnevenPool(t *testing.T) {
	speeds := make([]float64, 30)
	for i := range speeds {
		speeds[i] = []float64{0.6, 1, 1.6}[i%3]
	}
	p := profiler.New()
	now := play(p, speeds, start, 20*time.Second)
	slow, fast := 0.0, 0.0
	for i := range speeds {
		switch got := p.Speed(now, uint32(i)); i % 3 {
		case 0:
			slow += got / 10
		case 2:
			fast += got / 10
		}
	}
	if ratio := fast / slow; ratio < 2 || ratio > 3.4 { // 2.67 in truth
		t.Errorf("fast engines are taken as %.2f times as fast as slow ones (%.2f and %.2f)", ratio, fast, slow)
	}
}

// Load: a pool of equal engines of which some stall now and then. Guards against placements
// that follow sampling errors.
func TestSpeedsOfEvenPool(t *testing.T) {
	p := profiler.New()
	now := play(p, []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, start, 20*time.Second)
	for i := range uint32(18) {
		if got := p.Speed(now, i); math.Abs(got-1) > 0.45 {
			t.Errorf("engine %d has speed %.2f", i, got)
		}
	}
}

// Load: an engine that turns four times as slow. Guards against learned speeds that outlive
// what they were learned from.
func TestSlowedEngineIsNoticedWithinSeconds(t *testing.T) {
	speeds := []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	p := profiler.New()
	now := play(p, speeds, start, 30*time.Second)
	speeds[3] = 0.25
	now = play(p, speeds, now, 5*time.Second)
	if got := p.Speed(now, 3); got > 0.7 {
		t.Errorf("speed is %.2f 5 s after the engine turned slow", got)
	}
	speeds[3] = 1
	now = play(p, speeds, now, 30*time.Second)
	if got := p.Speed(now, 3); got < 0.8 {
		t.Errorf("speed is %.2f 30 s after the engine has recovered", got)
	}
}

// Guards against estimates from too few samples, and against samples that peers send of
// engines that are gone.
func TestEnginesWithoutSamplesCountAsOrdinary(t *testing.T) {
	p := profiler.New()
	p.Record(start, profiler.Sample{Upstream: 7, Misses: 100, FirstMS: 9000})
	p.RecordPauses(start, profiler.PauseSample{Upstream: 7, Output: 10, Late: true})
	p.SetEngines(map[uint32]string{1: "pool"})
	p.Record(start, profiler.Sample{Upstream: 1, Misses: 100, FirstMS: 9000})
	for _, key := range []uint32{1, 7} {
		if speed, rate := p.Speed(start, key), p.LateRate(start, key); speed != 1 || rate != 0 {
			t.Errorf("engine %d has speed %v and rate %v", key, speed, rate)
		}
	}
}

// Load: streams of a slow engine miss their pause objective. Guards against long streams being
// sent there while others have none.
func TestLateRateOfEngines(t *testing.T) {
	p := profiler.New()
	p.SetEngines(map[uint32]string{1: "pool", 2: "pool", 3: "pool"})
	now := start
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		p.RecordPauses(now, profiler.PauseSample{Upstream: 1, Output: 300, Late: i%4 == 0})
		p.RecordPauses(now, profiler.PauseSample{Upstream: 2, Output: 300})
	}
	slow, fast, unknown := p.LateRate(now, 1), p.LateRate(now, 2), p.LateRate(now, 3)
	if slow*300 < 0.15 || fast*300 > 0.05 || unknown <= fast || unknown >= slow {
		t.Errorf("rates for 300 tokens are %.3f, %.3f and %.3f for an engine without samples", slow*300, fast*300, unknown*300)
	}
}

// Guards against a malformed sample of a peer that makes the speeds and the pauses of a pool
// meaningless for minutes.
func TestImplausibleSamplesAreDropped(t *testing.T) {
	speeds := []float64{0.5, 1, 2, 0.5, 1, 2, 0.5, 1, 2}
	for _, s := range []profiler.Sample{
		{Misses: math.MaxInt, FirstMS: 1},
		{Misses: 1, FirstMS: math.MaxInt},
		{Misses: math.MaxInt, FirstMS: math.MaxInt},
		{Misses: math.MinInt, FirstMS: 1},
		{Misses: 1, FirstMS: math.MinInt},
		{Misses: 1 << 40, FirstMS: 100},
	} {
		p := profiler.New()
		p.SetEngines(map[uint32]string{0: "pool"})
		p.Record(start, s)
		now := play(p, speeds, start, 20*time.Second)
		p.Record(now, s)
		now = play(p, speeds, now, time.Second)
		if slow, fast := p.Speed(now, 0), p.Speed(now, 2); !(slow < 0.8 && fast > 1.25) {
			t.Errorf("after %+v: speeds %v and %v of a slow and a fast engine", s, slow, fast)
		}
	}
	for _, output := range []int{math.MaxInt, math.MinInt, 1 << 40} {
		p := profiler.New()
		p.SetEngines(map[uint32]string{1: "pool"})
		p.RecordPauses(start, profiler.PauseSample{Upstream: 1, Output: output})
		p.RecordPauses(start, profiler.PauseSample{Upstream: 1, Output: 100, Late: true})
		if rate := p.LateRate(start, 1); rate < 0.001 {
			t.Errorf("after a sample with an output of %d: rate %v", output, rate)
		}
	}
}
