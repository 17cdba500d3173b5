package config

import "time"

const (
	defaultPieceBytes       = 8192
	defaultSlots            = 8
	defaultLoads            = 2
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
	defaultConnections      = 8192
	defaultQueueLength      = 4096
	defaultEntrySeconds     = 5
)

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithDefaults returns a copy of d in which absent fields have their defaults.
func (d Declaration) WithDefaults() Declaration {
	fill(&d.PieceBytes, defaultPieceBytes)
	fill(&d.WeightStore.Slots, defaultLoads)
	fill(&d.WeightStore.LoadSeconds, defaultLoadSeconds)
	d.VMs = clone(d.VMs, func(v *VM) {
		if v.LeavesAt != nil && v.DrainFrom == nil {
			t := v.LeavesAt.Add(-defaultDrainLead)
			v.DrainFrom = &t
		}
	})
	d.Pools = clone(d.Pools, func(p *Pool) { fill(&p.Class, Standard) })
	d.Services = clone(d.Services, func(s *Service) {
		s.Routes = clone(s.Routes, func(r *Route) { fill(&r.Class, Interactive) })
	})
	d.Upstreams = clone(d.Upstreams, func(u *Upstream) { fill(&u.Slots, defaultSlots) })
	d.Workspaces = clone(d.Workspaces, func(w *Workspace) {
		fill(&w.Weight, 1)
		fill(&w.RecomputeWeight, 1)
		fill(&w.BurstTokens, defaultBurstSeconds*w.TokensPerSecond)
	})
	return d
}

func clone[T any](in []T, change func(*T)) []T {
	out := append([]T(nil), in...)
	for i := range out {
		change(&out[i])
	}
	return out
}

// WithDefaults returns a copy of s in which absent fields have their defaults.
func (s Settings) WithDefaults() Settings {
	fill(&s.Advertise, s.Listen)
	fill(&s.LogLevel, "info")
	l := &s.Limits
	fill(&l.BodyBytes, defaultBodyBytes)
	fill(&l.HeaderBytes, defaultHeaderBytes)
	fill(&l.HeaderSeconds, defaultHeaderSeconds)
	fill(&l.RequestSeconds, defaultRequestSeconds)
	fill(&l.FirstByteSeconds, defaultFirstByteSeconds)
	fill(&l.ChunkSeconds, defaultChunkSeconds)
	fill(&l.WriteSeconds, defaultWriteSeconds)
	fill(&l.Connections, defaultConnections)
	fill(&l.QueueLength, defaultQueueLength)
	fill(&l.EntrySeconds, defaultEntrySeconds)
	return s
}
