package detector

import "time"

// Reason is why a suspect isn't taken for poison.
type Reason string

// The reasons why a suspect isn't taken for poison.
const (
	// TooFewCrashes: a suspect with which runs had succeeded before needs more.
	TooFewCrashes Reason = "tooFewCrashes"
	// SentAtOnce: its runs had been sent before the first crash, as those of an outage.
	SentAtOnce Reason = "sentAtOnce"
	// Observed: its first crash is too recent for a success to have cleared it.
	Observed Reason = "observed"
	// OtherCrashes: most crashes since its first one are without it.
	OtherCrashes Reason = "otherCrashes"
	// NothingSucceeds: hardly any other run at the service succeeds.
	NothingSucceeds Reason = "nothingSucceeds"
	// OtherSuspect: another suspect was lost as often.
	OtherSuspect Reason = "otherSuspect"
)

// Doubt reports a suspect that was lost at several crashes and isn't rejected.
type Doubt struct {
	Feature Feature
	Crashes int
	Reason  Reason
}

const (
	// doubtInterval is the time between two reports of doubts, and maxDoubts bounds each: in
	// an outage there are suspects by the hundred.
	doubtInterval = time.Second
	maxDoubts     = 16
)

// Doubts returns the doubts that are new or have another reason since the last report.
func (d *Detector) Doubts(now time.Time) []Doubt {
	if len(d.newDoubts) == 0 || now.Sub(d.doubtsAt) < doubtInterval {
		return nil
	}
	out := d.newDoubts
	d.newDoubts, d.doubtsAt = nil, now
	return out
}

func (d *Detector) doubt(t *tally, reason Reason) {
	if reason == Observed || d.doubted[t.feature] == reason || len(d.newDoubts) >= maxDoubts {
		return
	}
	if _, known := d.doubted[t.feature]; !known && len(d.doubted) >= maxSuspects {
		return
	}
	d.doubted[t.feature] = reason
	d.newDoubts = append(d.newDoubts, Doubt{Feature: t.feature, Crashes: t.crashes, Reason: reason})
}
