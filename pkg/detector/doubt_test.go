package detector_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/detector"
)

// A judge that keeps silent about a suspect leaves the operator without the reason.
func TestDoubtNamesTheReason(t *testing.T) {
	d := detector.New(newRand())
	now := start
	for i := range 4 {
		d.RecordLoss(now.Add(time.Second), model, uint32(i), now, []detector.Feature{42})
		d.RecordLoss(now.Add(time.Second), model, uint32(10+i), now, []detector.Feature{firstRequest + detector.Feature(i)})
		now = now.Add(time.Second)
	}
	now = now.Add(time.Second)
	if found := judge(d, now); len(found) > 0 {
		t.Fatalf("found %+v", found)
	}
	got := d.Doubts(now)
	if len(got) != 1 || got[0] != (detector.Doubt{Feature: 42, Crashes: 4, Reason: detector.NothingSucceeds}) {
		t.Errorf("got %+v", got)
	}
	judge(d, now)
	if again := d.Doubts(now.Add(time.Minute)); len(again) > 0 {
		t.Errorf("reported again: %+v", again)
	}
}

// Guards against a second attempt of a request that may have crashed an upstream, and
// against none for good after a crash of another cause.
func TestLostRunIsSuspectUntilOneSucceeds(t *testing.T) {
	d := detector.New(newRand())
	now := start.Add(time.Second)
	d.RecordLoss(now, model, 1, start, []detector.Feature{root, deadly})
	for f, want := range map[detector.Feature]bool{root: true, deadly: true, subject: false} {
		if d.Suspects(now, []detector.Feature{f, 99}) != want {
			t.Errorf("feature %v: suspected %t", f, !want)
		}
	}
	d.RecordSuccess(now, model, []detector.Feature{root})
	if d.Suspects(now, []detector.Feature{root}) || !d.Suspects(now, []detector.Feature{root, deadly}) {
		t.Error("a success has to clear the parts that it had, and no others")
	}
	if d.Suspects(now.Add(time.Hour), []detector.Feature{deadly}) {
		t.Error("suspected an hour after the crash")
	}
}
