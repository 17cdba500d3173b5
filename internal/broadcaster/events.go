package broadcaster

import (
	"time"
)

// AnnounceSuspension tells peers at once to send no new work to an upstream.
func (b *Broadcaster) AnnounceSuspension(upstream uint32, until time.Time) {
	now := b.clk.Now()
	b.mu.Lock()
	b.suspensions = append(b.suspensions, announcedSuspension{upstream: upstream, until: until, announcedAt: now})
	b.eventsPending = true
	b.mu.Unlock()
	b.triggerBroadcast()
}

// AnnounceUpgrade tells peers at once that an upstream has loaded new weights.
func (b *Broadcaster) AnnounceUpgrade(u Upgrade) {
	now := b.clk.Now()
	b.mu.Lock()
	b.upgrades = append(b.upgrades, announcedUpgrade{Upgrade: u, announcedAt: now})
	kept := b.suspensions[:0]
	for _, c := range b.suspensions {
		if c.upstream != u.Upstream {
			kept = append(kept, c)
		}
	}
	b.suspensions, b.eventsPending = kept, true
	b.mu.Unlock()
	b.triggerBroadcast()
}

// FlushEvents makes the next message go to all nodes, at most every eventFlushInterval.
func (b *Broadcaster) FlushEvents() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.eventsPending = true
}
