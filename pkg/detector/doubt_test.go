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
