package differ

import (
	"fmt"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// ownersOf returns the workspaces that the keys count for, by index.
func ownersOf(workspaces []traffic.Workspace) map[string]int {
	owners := make(map[string]int, len(workspaces))
	for i := range workspaces {
		for _, k := range workspaces[i].Keys {
			owners[k] = i
		}
	}
	return owners
}

func (d *differ) compareWorkspaces() {
	before, after := d.before.Catalog.Workspaces, d.after.Catalog.Workspaces
	d.compareKeys()
	earlier := make(map[string]int, len(before))
	for i := range before {
		earlier[before[i].Name] = i
	}
	later := make(map[string]bool, len(after))
	for i := range after {
		a := &after[i]
		s := subject("workspace", a.Name)
		j, ok := earlier[a.Name]
		switch {
		case later[a.Name]: // of two with one name, the first is compared
		case !ok:
			d.add(WorkspacesChanged, s, "added")
		default:
			b := &before[j]
			addChange(d, WorkspacesChanged, s, "isolated", b.Isolated, a.Isolated)
			addChange(d, WorkspacesChanged, s, "priority", priority(b), priority(a))
			d.compareRates(s, j, i)
		}
		later[a.Name] = true
	}
	for i := range before {
		if !later[before[i].Name] {
			d.add(WorkspacesChanged, subject("workspace", before[i].Name), "removed")
		}
	}
}

// compareKeys compares whom the keys count for. Keys are counted and not printed.
func (d *differ) compareKeys() {
	before, after := d.before.Catalog.Workspaces, d.after.Catalog.Workspaces
	owned, owns := ownersOf(before), ownersOf(after)
	type move struct{ from, to string }
	moved := map[move]int{}
	for i := range after {
		added := 0
		var moves []move // in the order of the keys
		for _, k := range after[i].Keys {
			if owns[k] != i {
				continue
			}
			owns[k] = -1 // counts once
			j, ok := owned[k]
			if !ok {
				added++
			} else if from := before[j].Name; from != after[i].Name {
				m := move{from: from, to: after[i].Name}
				if moved[m]++; moved[m] == 1 {
					moves = append(moves, m)
				}
			}
		}
		s := subject("workspace", after[i].Name)
		if added > 0 {
			d.add(KeysAdded, s, "%s", keys(added))
		}
		for _, m := range moves {
			d.add(KeysMoved, s, "%s of %s", keys(moved[m]), subject("workspace", m.from))
		}
	}
	for i := range before {
		removed := 0
		for _, k := range before[i].Keys {
			if _, kept := owns[k]; !kept && owned[k] == i {
				owned[k] = -1
				removed++
			}
		}
		if removed > 0 {
			d.add(KeysRemoved, subject("workspace", before[i].Name), "%s", keys(removed))
		}
	}
}

func keys(n int) string {
	if n == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", n)
}

func priority(w *traffic.Workspace) string {
	if !w.HasPriority {
		return "of the route"
	}
	return fmt.Sprint(w.Priority)
}

// compareRates compares the rate limits of a workspace with index i before and j after.
func (d *differ) compareRates(s string, i, j int) {
	if d.before.Rate == nil || d.after.Rate == nil {
		return
	}
	beforeRate, beforeBurst := d.before.Rate(i)
	afterRate, afterBurst := d.after.Rate(j)
	d.addLimit(s, "rate per second", beforeRate, afterRate, "unlimited")
	if beforeRate > 0 && afterRate > 0 { // a burst without a rate limits nothing
		d.addBurst(s, beforeBurst, afterBurst)
	}
}

func (d *differ) addBurst(s string, before, after float64) {
	switch {
	case after > before:
		d.addValues(LimitsRaised, s, "burst", limitText(before, "0"), limitText(after, "0"))
	case after < before:
		d.addValues(LimitsLowered, s, "burst", limitText(before, "0"), limitText(after, "0"))
	}
}
