package linter

import "fmt"

// minBurstShare is the share of a rate per second under which a burst is too small. Requests
// of one caller arrive unevenly, so that a smaller burst refuses much of what the rate allows.
const minBurstShare = 0.1

// CheckRate checks the rate limit of a workspace, with its burst, and returns the code and the
// text of the finding. The code is empty if there is none. A rate of 0 is no limit.
func CheckRate(perSecond, burst float64) (Code, string) {
	switch {
	case perSecond <= 0:
		return "", ""
	case burst <= 0:
		return RateWithoutBurst, fmt.Sprintf("the rate of %g per second has no burst", perSecond)
	case burst < minBurstShare*perSecond:
		return BurstTooSmall, fmt.Sprintf("the burst of %g is below a tenth of the rate of %g per second", burst, perSecond)
	}
	return "", ""
}
