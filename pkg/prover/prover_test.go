package prover_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnnotch/auburnnotch/pkg/prover"
)

func ExampleProver() {
	const limit = 4 * time.Second
	p := prover.New().WithProof(7, 10*time.Second)
	fmt.Println(p.Fresh(13*time.Second, limit), p.Fresh(15*time.Second, limit))
	// Output: true false
}

func TestProofIsDatedByTheNewestQuestionOfTheNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := prover.New()
		var version uint64
		var at time.Duration
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			v := rapid.Uint64Range(1, 4).Draw(t, "version")
			sent := time.Duration(rapid.IntRange(1, 1000).Draw(t, "sent")) * time.Millisecond
			p = p.WithProof(v, sent)
			if v >= version && (version == 0 || sent > at) {
				version, at = v, sent
			}
			if age, ok := p.Age(2 * time.Second); !ok || age != 2*time.Second-at || p.Version() != version {
				t.Fatalf("proof of %d, %v old; want %d, %v", p.Version(), age, version, 2*time.Second-at)
			}
		}
	})
}

func TestNothingHoldsWithoutAProof(t *testing.T) {
	if prover.New().Fresh(0, time.Hour) {
		t.Fatal("a proof that was never given holds")
	}
}

// A proof that is dated later than now was dated by another clock.
func TestProofOfTheFutureDoesNotHold(t *testing.T) {
	p := prover.New().WithProof(7, time.Hour)
	if p.Fresh(time.Minute, 4*time.Second) {
		t.Error("a proof that is dated an hour ahead holds")
	}
}
