package config

import "time"

const (
	defaultPieceBytes       = 8192
	defaultUpstreamSlots    = 8
	defaultWeightStoreSlots = 2
	defaultLoadSeconds      = 1
	defaultDrainLead        = 10 * time.Minute
	defaultBurstSeconds     = 10
	defaultBodyBytes        = 4 << 20
	defaultHeaderBytes      = 32 << 10
	defaultHeaderSeconds    = 5
	defaultRequestSeconds   = 300
	defaultFirstByteSeconds = 3
	defaultChunkSeconds     = 2
	defaultWriteSeconds     = 20
	defaultMemoryMB         = 512
	defaultConnections      = 8192
	defaultQueueLength      = 4096
	defaultEntrySeconds     = 5
)

// setDefault sets a field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithDefaults returns a copy of d with the defaults for absent fields.
func (d Declaration) WithDefaults() Declaration {
	setDefault(&d.PieceBytes, defaultPieceBytes)
	setDefault(&d.WeightStore.Slots, defaultWeightStoreSlots)
	setDefault(&d.WeightStore.LoadSeconds, defaultLoadSeconds)
	d.VMs = cloneWith(d.VMs, func(v *VM) {
		if v.LeavesAt != nil && v.DrainFrom == nil {
			t := v.LeavesAt.Add(-defaultDrainLead)
			v.DrainFrom = &t
		}
	})
	d.Pools = cloneWith(d.Pools, func(p *Pool) { setDefault(&p.Class, Standard) })
	d.Services = cloneWith(d.Services, func(s *Service) {
		s.Routes = cloneWith(s.Routes, func(r *Route) { setDefault(&r.Class, Interactive) })
	})
	d.Upstreams = cloneWith(d.Upstreams, func(u *Upstream) { setDefault(&u.Slots, defaultUpstreamSlots) })
	d.Workspaces = cloneWith(d.Workspaces, func(w *Workspace) {
		setDefault(&w.Weight, 1)
		setDefault(&w.RecomputeWeight, 1)
		setDefault(&w.BurstTokens, defaultBurstSeconds*w.TokensPerSecond)
	})
	return d
}

// cloneWith returns a copy of in with change applied to each element.
func cloneWith[T any](in []T, change func(*T)) []T {
	out := append([]T(nil), in...)
	for i := range out {
		change(&out[i])
	}
	return out
}

// WithDefaults returns a copy of s with the defaults for absent fields.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Advertise, s.Listen)
	setDefault(&s.LogLevel, "info")
	l := &s.Limits
	setDefault(&l.BodyBytes, defaultBodyBytes)
	setDefault(&l.HeaderBytes, defaultHeaderBytes)
	setDefault(&l.HeaderSeconds, defaultHeaderSeconds)
	setDefault(&l.RequestSeconds, defaultRequestSeconds)
	setDefault(&l.FirstByteSeconds, defaultFirstByteSeconds)
	setDefault(&l.ChunkSeconds, defaultChunkSeconds)
	setDefault(&l.WriteSeconds, defaultWriteSeconds)
	setDefault(&l.MemoryMB, defaultMemoryMB)
	setDefault(&l.Connections, defaultConnections)
	setDefault(&l.QueueLength, defaultQueueLength)
	setDefault(&l.EntrySeconds, defaultEntrySeconds)
	return s
}
