package platform

// EraBits is the number of upper bits of a revision that hold the era.
//
// A Store that comes back from an older copy has lost its last changes, and gives out their
// revisions again. It then begins a new era. Revisions of a later era are higher, and none occurs
// twice. An era of 0 changes none.
const EraBits = 24

const (
	eraShift  = 64 - EraBits
	maxEra    = 1<<EraBits - 1
	countMask = 1<<eraShift - 1
)

// InEra returns the revision that a Store has given out as count in an era. 0, which stands for
// none, stays 0.
func InEra(era, count uint64) uint64 {
	if count == 0 || era > maxEra {
		return count
	}
	return era<<eraShift | count&countMask
}

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> eraShift }

// Count returns what a Store has given out as a revision in its era.
func Count(revision uint64) uint64 { return revision & countMask }
