package claimer

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

func unix(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Unix()
}

// expiry returns when the last of records may be forgotten, 0 for never.
func expiry(records []Record) int64 {
	last := int64(0)
	for _, r := range records {
		if r.Expires == 0 {
			return 0
		}
		last = max(last, r.Expires)
	}
	return last
}

// expired reports whether every claim of a sealed page may be forgotten; the
// page's name ends with the time.
func expired(name string, now time.Time) bool {
	_, text, _ := strings.Cut(name, "-")
	at, err := strconv.ParseInt(text, 10, 64)
	return err == nil && at > 0 && now.Unix() > at
}

// unexpired returns the sealed pages that are still needed.
func (c *Claimer) unexpired(now time.Time) []string {
	var kept []string
	for _, name := range c.head.Sealed {
		if !expired(name, now) {
			kept = append(kept, name)
		}
	}
	return kept
}

// forget drops the pages that the new head names no more, and their claims.
func (c *Claimer) forget(now time.Time) {
	dropped := false
	for _, name := range c.head.Sealed {
		if !slices.Contains(c.batch.Sealed, name) {
			dropped = true
			delete(c.loaded, name)
			c.do(ClearSealed{Name: name})
		}
	}
	if !dropped {
		return
	}
	for k, e := range c.index {
		if e.expires != 0 && now.Unix() > e.expires {
			delete(c.index, k)
		}
	}
}
