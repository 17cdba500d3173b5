package claimer

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

func unixSeconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Unix()
}

// lastExpiry returns the Unix time at which the last of records expires, or 0
// if one of them never expires.
func lastExpiry(records []Record) int64 {
	last := int64(0)
	for _, r := range records {
		if r.Expires == 0 {
			return 0
		}
		last = max(last, r.Expires)
	}
	return last
}

// expired reports whether every claim of a sealed page has expired. The page's
// name ends with the time of the last expiry.
func expired(name string, now time.Time) bool {
	_, text, _ := strings.Cut(name, "-")
	at, err := strconv.ParseInt(text, 10, 64)
	return err == nil && at > 0 && now.Unix() > at
}

// unexpired returns the names of the sealed pages whose claims have not all
// expired.
func (c *Claimer) unexpired(now time.Time) []string {
	var kept []string
	for _, name := range c.head.Sealed {
		if !expired(name, now) {
			kept = append(kept, name)
		}
	}
	return kept
}

// dropExpired drops the pages that the next head no longer lists. If there are
// any, it also removes all expired claims from the index.
func (c *Claimer) dropExpired(now time.Time) {
	dropped := false
	for _, name := range c.head.Sealed {
		if !slices.Contains(c.nextHead.Sealed, name) {
			dropped = true
			delete(c.sealedPages, name)
			c.emit(ClearSealed{Name: name})
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
