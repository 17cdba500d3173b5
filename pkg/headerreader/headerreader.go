// Package headerreader reads header lines by which upstreams ask for fewer requests.
package headerreader

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Rate returns the rate in the header lines called name, in requests per second, the lowest if there
// are several. ok is false if there is none that is valid.
func Rate(h http.Header, name string) (rate float64, ok bool) {
	for _, v := range h[name] {
		r, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err == nil && r >= 0 && !math.IsInf(r, 0) && (!ok || r < rate) { // false for NaN
			rate, ok = r, true
		}
	}
	return rate, ok
}

// maxRetryAfterSeconds is the largest value that a duration of whole nanoseconds holds with room
// to spare. Larger ones count as this.
const maxRetryAfterSeconds = 1e9

// RetryAfter returns the longest time that a response asks to wait, in seconds, which may
// have fractions, or as a date by the upstream's own clock. Values that are neither, and
// those that aren't positive, count as 0.
func RetryAfter(h http.Header) time.Duration {
	var longest time.Duration
	for _, v := range h["Retry-After"] {
		v = strings.TrimSpace(v)
		seconds, err := strconv.ParseFloat(v, 64)
		if tooLarge := errors.Is(err, strconv.ErrRange); err != nil && !tooLarge || err == nil && math.IsInf(seconds, 0) {
			seconds = secondsUntil(v, h.Get("Date"))
		}
		if seconds > 0 { // false for NaN
			longest = max(longest, time.Duration(min(seconds, maxRetryAfterSeconds)*float64(time.Second)))
		}
	}
	return longest
}

func secondsUntil(date, now string) float64 {
	until, err := http.ParseTime(date)
	if err != nil {
		return 0
	}
	from, err := http.ParseTime(now)
	if err != nil {
		return 0
	}
	return until.Sub(from).Seconds()
}
