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

func TestQuestionAndAnswerOfProtocolOne(t *testing.T) {
	q := question{Number: 1, From: "n", Query: placer.Query{
		Service: "s", Prompt: &traffic.Prompt{Model: "m", Parts: []traffic.Part{{ID: "p", Tokens: 2}}, Tokens: 3, MaxOutput: 4}, CacheScope: "w",
		DataCentre: "a", Exclude: []string{"e"}, Tripped: []uint32{5}, Version: 6, SinceAnnounced: 7 * time.Second,
		Cutoffs: []placer.VersionCutoff{{Version: 8, Remaining: 9}}, Pinned: true, CacheAddress: "c", CacheTokens: 10,
	}}
	a := answer{Number: 1, Verdict: placer.Placed, Advice: placer.Advice{
		Upstream: 2, Version: 3, Misses: 4, MemoryTokens: 5, Running: 6, QueueingDelayMS: 7.5, Source: 8, Save: true,
	}}
	b, err := packer.Pack(&q)
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
