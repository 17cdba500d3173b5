package broadcaster_test

import (
	"reflect"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/detector"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/profiler"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
)

func protocolOneMessage() broadcaster.Message {
	return broadcaster.Message{
		From: "n1", BootID: 1, SentAt: 2, Echo: 3, EchoBootID: 4, ConfigVersion: 5, ProofAgeMS: 6, Leaving: true, Aggregated: true, StoreReader: true,
		LatestConfig: 7, CacheStoreDown: true, Revision: 8, Hash: 9,
		Report: placer.Report{
			Loads:   []placer.Load{{Upstream: 10, Running: 11, PrefillTokens: 12, MemoryTokens: 13, Pinned: 14, OldestWaitMS: 15, ActivityAgeMS: 16}},
			Settled: 17, Tripped: []uint32{18},
		},
		Placements:    []placer.Placement{{Upstream: 19, Version: 20, Cached: true, Prefix: 21}},
		SilentNodes:   []string{"n2"},
		Announcements: []broadcaster.Announcement{{Model: "m", Version: 22, AgeMS: 23}},
		Suspensions:   []broadcaster.Suspension{{Upstream: 24, DurationMS: 25}},
		Upgrades:      []broadcaster.Upgrade{{Upstream: 26, Model: "m", Version: 27}},
	}
}

// earlierMessage has the fields of protocol one, in their order.
type earlierMessage struct {
	From           string
	BootID         uint64
	SentAt, Echo   int64
	EchoBootID     uint64
	ConfigVersion  uint64
	ProofAgeMS     int64
	Leaving        bool
	Aggregated     bool
	StoreReader    bool
	LatestConfig   uint64
	CacheStoreDown bool
	Revision, Hash uint64
	placer.Report
	Placements    []placer.Placement
	SilentNodes   []string
	Announcements []broadcaster.Announcement
	Suspensions   []broadcaster.Suspension
	Upgrades      []broadcaster.Upgrade
}

func earlier(m broadcaster.Message) earlierMessage {
	return earlierMessage{
		m.From, m.BootID, m.SentAt, m.Echo, m.EchoBootID, m.ConfigVersion, m.ProofAgeMS, m.Leaving, m.Aggregated, m.StoreReader,
		m.LatestConfig, m.CacheStoreDown, m.Revision, m.Hash, m.Report, m.Placements, m.SilentNodes, m.Announcements, m.Suspensions, m.Upgrades,
	}
}

// Nodes of two releases run side by side during each upgrade: this release reads the
// messages of the earlier one, and that one reads those of this release.
func TestMessageOfProtocolOne(t *testing.T) {
	m := protocolOneMessage()
	b, err := packer.Pack(earlier(m))
	if err != nil {
		t.Fatal(err)
	}
	var got broadcaster.Message
	if err := packer.New(testlib.Golden(t, "protocol-1-message", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, error %v", got, err)
	}
	withEvidence := protocolTwoMessage()
	if b, err = packer.Pack(&withEvidence); err != nil {
		t.Fatal(err)
	}
	var old earlierMessage
	if err := packer.New(b).Unpack(&old); err != nil || !reflect.DeepEqual(old, earlier(m)) {
		t.Errorf("an earlier release reads %+v, error %v", old, err)
	}
}

func protocolTwoMessage() broadcaster.Message {
	m := protocolOneMessage()
	m.Evidence = detector.Evidence{
		LostRuns: []detector.LostRun{{Upstream: 28, AgeMS: 29, DurationMS: 30, Features: []detector.Feature{31, 32}, Service: 38}},
		Suspects: []detector.Feature{33}, Cleared: []detector.Feature{34}, Vouched: []detector.Feature{35},
		Poisons: []detector.Poison{{Features: []detector.Feature{36}, RemainingMS: 37}},
	}
	return m
}

// ProtocolOne is embedded by an exported name, which the decoder requires.
type ProtocolOne = earlierMessage

// evidenceOfTwo has the fields of the evidence of protocols two and three, in their order.
type evidenceOfTwo struct {
	LostRuns                   []detector.LostRun
	Suspects, Cleared, Vouched []detector.Feature
	Poisons                    []detector.Poison
}

func earlierEvidence(e detector.Evidence) evidenceOfTwo {
	return evidenceOfTwo{e.LostRuns, e.Suspects, e.Cleared, e.Vouched, e.Poisons}
}

// protocolTwo has the fields of protocol two, in their order.
type protocolTwo struct {
	ProtocolOne
	Evidence evidenceOfTwo
}

// protocolThree has the fields of protocol three, in their order.
type protocolThree struct {
	ProtocolOne
	Evidence   evidenceOfTwo
	StoreAgeMS int64
}

func TestMessageOfProtocolTwo(t *testing.T) {
	m := protocolTwoMessage()
	b, err := packer.Pack(&protocolTwo{earlier(m), earlierEvidence(m.Evidence)})
	if err != nil {
		t.Fatal(err)
	}
	var got broadcaster.Message
	if err := packer.New(testlib.Golden(t, "protocol-2-message", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, error %v", got, err)
	}
}

func protocolThreeMessage() broadcaster.Message {
	m := protocolTwoMessage()
	m.StoreAgeMS = 39
	return m
}

func TestMessageOfProtocolThree(t *testing.T) {
	m := protocolThreeMessage()
	b, err := packer.Pack(&protocolThree{earlier(m), earlierEvidence(m.Evidence), m.StoreAgeMS})
	if err != nil {
		t.Fatal(err)
	}
	var got broadcaster.Message
	if err := packer.New(testlib.Golden(t, "protocol-3-message", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, error %v", got, err)
	}
	var old protocolTwo
	if err := packer.New(b).Unpack(&old); err != nil || !reflect.DeepEqual(old.Evidence, earlierEvidence(m.Evidence)) || !reflect.DeepEqual(old.ProtocolOne, earlier(m)) {
		t.Errorf("an earlier release reads %+v, error %v", old, err)
	}
}

// evidenceOfFour has the fields of the evidence of protocols four and five, in their order.
type evidenceOfFour struct {
	LostRuns                   []detector.LostRun
	Suspects, Cleared, Vouched []detector.Feature
	Poisons                    []detector.Poison
	Served                     []detector.Service
}

// protocolFour has the fields of protocols four and five, in their order.
type protocolFour struct {
	ProtocolOne
	Evidence   evidenceOfFour
	StoreAgeMS int64
}

func earlierThanClaims(m broadcaster.Message) protocolFour {
	e := m.Evidence
	return protocolFour{earlier(m), evidenceOfFour{e.LostRuns, e.Suspects, e.Cleared, e.Vouched, e.Poisons, e.Served}, m.StoreAgeMS}
}

func protocolFourMessage() broadcaster.Message {
	m := protocolThreeMessage()
	m.Evidence.Served = []detector.Service{40, 41}
	return m
}

func TestMessageOfProtocolFour(t *testing.T) {
	m := protocolFourMessage()
	four := earlierThanClaims(m)
	b, err := packer.Pack(&four)
	if err != nil {
		t.Fatal(err)
	}
	var got broadcaster.Message
	if err := packer.New(testlib.Golden(t, "protocol-4-message", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, error %v", got, err)
	}
	var old protocolThree
	if err := packer.New(b).Unpack(&old); err != nil || !reflect.DeepEqual(old, protocolThree{earlier(m), earlierEvidence(m.Evidence), m.StoreAgeMS}) {
		t.Errorf("an earlier release reads %+v, error %v", old, err)
	}
}

func protocolSixMessage() broadcaster.Message {
	m := protocolFourMessage()
	m.Evidence.Claims = []detector.Claim{{Rejection: 42, ID: 43, AgeMS: 44}}
	m.Usage = limiter.Report{Periods: 50, Usage: []limiter.Usage{{Workspace: 42, Period: 43, Admitted: -44, Asked: 45, Requests: 46}}}
	m.Samples = placer.Samples{
		FirstEvents: []profiler.Sample{{Upstream: 51, Misses: 52, FirstMS: 53}},
		Pauses:      []profiler.PauseSample{{Upstream: 54, Output: 55, Late: true}},
	}
	m.Summarized, m.Shortages = true, []limiter.Shortage{{Workspace: 47, Level: -48.5, Asked: 49.5}}
	return m
}

// protocolSix has the fields of protocols six and seven, in their order.
type protocolSix struct {
	ProtocolOne
	Evidence   detector.Evidence
	StoreAgeMS int64
	Usage      limiter.Report
	Summarized bool
	Shortages  []limiter.Shortage
	Samples    placer.Samples
}

func earlierThanRates(m broadcaster.Message) protocolSix {
	return protocolSix{earlier(m), m.Evidence, m.StoreAgeMS, m.Usage, m.Summarized, m.Shortages, m.Samples}
}

func TestMessageOfProtocolSix(t *testing.T) {
	m := protocolSixMessage()
	six := earlierThanRates(m)
	b, err := packer.Pack(&six)
	if err != nil {
		t.Fatal(err)
	}
	var got broadcaster.Message
	if err := packer.New(testlib.Golden(t, "protocol-6-message", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, error %v", got, err)
	}
	var old protocolFour
	if err := packer.New(b).Unpack(&old); err != nil || !reflect.DeepEqual(old, earlierThanClaims(m)) {
		t.Errorf("an earlier release reads %+v, error %v", old, err)
	}
}

func TestMessageOfProtocolEight(t *testing.T) {
	m := protocolSixMessage()
	m.UpstreamRates = []ratetracker.Statement{{Upstream: 56, Rate: 57.5, AgeMS: 58}}
	m.UpstreamUsage = limiter.Report{Periods: 59, Usage: []limiter.Usage{{Workspace: 60, Period: 61, Admitted: 62, Asked: 63, Requests: 64}}}
	b, err := packer.Pack(&m)
	if err != nil {
		t.Fatal(err)
	}
	var got broadcaster.Message
	if err := packer.New(testlib.Golden(t, "protocol-8-message", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, error %v", got, err)
	}
	var old protocolSix
	if err := packer.New(b).Unpack(&old); err != nil || !reflect.DeepEqual(old, earlierThanRates(m)) {
		t.Errorf("an earlier release reads %+v, error %v", old, err)
	}
}
