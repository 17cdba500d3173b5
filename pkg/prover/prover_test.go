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

func TestNewestRequestForNewestVersionDatesTheProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := prover.New()
		var version uint64
		var sentAt time.Duration
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			v := rapid.Uint64Range(1, 4).Draw(t, "version")
			sent := time.Duration(rapid.IntRange(1, 1000).Draw(t, "sent")) * time.Millisecond
			p = p.WithProof(v, sent)
			if v >= version && (version == 0 || sent > sentAt) {
				version, sentAt = v, sent
			}
			if age, ok := p.Age(2 * time.Second); !ok || age != 2*time.Second-sentAt || p.Version() != version {
				t.Fatalf("proof of version %d with age %v, want version %d with age %v", p.Version(), age, version, 2*time.Second-sentAt)
			}
		}
	})
}

func TestZeroProverIsNotFresh(t *testing.T) {
	if prover.New().Fresh(0, time.Hour) {
		t.Fatal("a Prover without a proof is fresh")
	}
}

// Guards against accepting a proof whose time is later than now, as it stems from
// another clock.
func TestFutureProofIsNotFresh(t *testing.T) {
	p := prover.New().WithProof(7, time.Hour)
	if p.Fresh(time.Minute, 4*time.Second) {
		t.Error("a proof from an hour in the future is fresh")
	}
}
