package adviser

import (
	"reflect"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// earlierQuery has the fields of protocol one, in their order.
type earlierQuery struct {
	Service        string
	Prompt         *traffic.Prompt
	CacheScope     string
	DataCentre     string
	Exclude        []string
	Tripped        []uint32
	Version        int
	SinceAnnounced time.Duration
	Cutoffs        []placer.VersionCutoff
	Pinned         bool
	CacheAddress   string
	CacheTokens    int
}

type earlierQuestion struct {
	Number uint64
	From   string
	Query  earlierQuery
}

func earlier(q question) earlierQuestion {
	return earlierQuestion{q.Number, q.From, earlierQuery{
		q.Query.Service, q.Query.Prompt, q.Query.CacheScope, q.Query.DataCentre, q.Query.Exclude, q.Query.Tripped, q.Query.Version,
		q.Query.SinceAnnounced, q.Query.Cutoffs, q.Query.Pinned, q.Query.CacheAddress, q.Query.CacheTokens,
	}}
}

func protocolOneQuestion() question {
	return question{Number: 1, From: "n", Query: placer.Query{
		Service: "s", Prompt: &traffic.Prompt{Model: "m", Parts: []traffic.Part{{ID: "p", Tokens: 2}}, Tokens: 3, MaxOutput: 4}, CacheScope: "w",
		DataCentre: "a", Exclude: []string{"e"}, Tripped: []uint32{5}, Version: 6, SinceAnnounced: 7 * time.Second,
		Cutoffs: []placer.VersionCutoff{{Version: 8, Remaining: 9}}, Pinned: true, CacheAddress: "c", CacheTokens: 10,
	}}
}

// This release reads the questions of the earlier one, and that one reads those of this
// release.
func TestQuestionAndAnswerOfProtocolOne(t *testing.T) {
	q := protocolOneQuestion()
	a := answer{Number: 1, Verdict: placer.Placed, Advice: placer.Advice{
		Upstream: 2, Version: 3, Misses: 4, MemoryTokens: 5, Running: 6, QueueingDelayMS: 7.5, Source: 8, Save: true,
	}}
	b, err := packer.Pack(earlier(q))
	if err != nil {
		t.Fatal(err)
	}
	var gotQuestion question
	if err := packer.New(testlib.Golden(t, "protocol-1-question", b)).Unpack(&gotQuestion); err != nil || !reflect.DeepEqual(gotQuestion, q) {
		t.Errorf("got %+v, error %v", gotQuestion, err)
	}
	if b, err = packer.Pack(&a); err != nil {
		t.Fatal(err)
	}
	var gotAnswer answer
	if err := packer.New(testlib.Golden(t, "protocol-1-answer", b)).Unpack(&gotAnswer); err != nil || !reflect.DeepEqual(gotAnswer, a) {
		t.Errorf("got %+v, error %v", gotAnswer, err)
	}
}

// protocolTwoQuery has the fields of protocol two, in their order.
type protocolTwoQuery struct {
	Service        string
	Prompt         *traffic.Prompt
	CacheScope     string
	DataCentre     string
	Exclude        []string
	Tripped        []uint32
	Version        int
	SinceAnnounced time.Duration
	Cutoffs        []placer.VersionCutoff
	Pinned         bool
	CacheAddress   string
	CacheTokens    int
	Unavailable    []uint32
}

type protocolTwoQuestion struct {
	Number uint64
	From   string
	Query  protocolTwoQuery
}

func asProtocolTwo(q question) protocolTwoQuestion {
	return protocolTwoQuestion{q.Number, q.From, protocolTwoQuery{
		q.Query.Service, q.Query.Prompt, q.Query.CacheScope, q.Query.DataCentre, q.Query.Exclude, q.Query.Tripped, q.Query.Version,
		q.Query.SinceAnnounced, q.Query.Cutoffs, q.Query.Pinned, q.Query.CacheAddress, q.Query.CacheTokens, q.Query.Unavailable,
	}}
}

// This release reads the questions of protocol two, and releases of protocol one read them too.
func TestQuestionOfProtocolTwo(t *testing.T) {
	q := protocolOneQuestion()
	q.Query.Unavailable = []uint32{11}
	b, err := packer.Pack(asProtocolTwo(q))
	if err != nil {
		t.Fatal(err)
	}
	var got question
	if err := packer.New(testlib.Golden(t, "protocol-2-question", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, q) {
		t.Errorf("got %+v, error %v", got, err)
	}
	var old earlierQuestion
	if err := packer.New(b).Unpack(&old); err != nil || !reflect.DeepEqual(old, earlier(q)) {
		t.Errorf("an earlier release reads %+v, error %v", old, err)
	}
}

// ProtocolTwoQuery is embedded by an exported name, which the decoder requires.
type ProtocolTwoQuery = protocolTwoQuery

// protocolFiveQuery has the fields of protocol five, in their order.
type protocolFiveQuery struct {
	ProtocolTwoQuery
	ExpectedOutput int
}

type protocolFiveQuestion struct {
	Number uint64
	From   string
	Query  protocolFiveQuery
}

func asProtocolFive(q question) protocolFiveQuestion {
	return protocolFiveQuestion{q.Number, q.From, protocolFiveQuery{asProtocolTwo(q).Query, q.Query.ExpectedOutput}}
}

func TestQuestionOfProtocolFive(t *testing.T) {
	q := protocolOneQuestion()
	q.Query.Unavailable, q.Query.ExpectedOutput = []uint32{11}, 12
	b, err := packer.Pack(asProtocolFive(q))
	if err != nil {
		t.Fatal(err)
	}
	var got question
	if err := packer.New(testlib.Golden(t, "protocol-5-question", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, q) {
		t.Errorf("got %+v, error %v", got, err)
	}
}

// This release reads its own questions, and earlier ones read them without their last fields.
func TestQuestionOfProtocolSix(t *testing.T) {
	q := protocolOneQuestion()
	q.Query.Unavailable, q.Query.ExpectedOutput, q.Query.Objective = []uint32{11}, 12, 13*time.Millisecond
	b, err := packer.Pack(&q)
	if err != nil {
		t.Fatal(err)
	}
	var got question
	if err := packer.New(testlib.Golden(t, "protocol-6-question", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, q) {
		t.Errorf("got %+v, error %v", got, err)
	}
	var five protocolFiveQuestion
	if err := packer.New(b).Unpack(&five); err != nil || !reflect.DeepEqual(five, asProtocolFive(q)) {
		t.Errorf("a release of protocol five reads %+v, error %v", five, err)
	}
	var two protocolTwoQuestion
	if err := packer.New(b).Unpack(&two); err != nil || !reflect.DeepEqual(two, asProtocolTwo(q)) {
		t.Errorf("a release of protocol two reads %+v, error %v", two, err)
	}
	var one earlierQuestion
	if err := packer.New(b).Unpack(&one); err != nil || !reflect.DeepEqual(one, earlier(q)) {
		t.Errorf("a release of protocol one reads %+v, error %v", one, err)
	}
}
