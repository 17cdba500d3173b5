package reserver_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/auburnnotch/auburnnotch/pkg/reserver"
)

const (
	kb    = int64(1) << 10
	total = 1000 * kb
)

// fill reserves n bytes at a time until no more fit, and returns how many did.
func fill(r *reserver.Reserver, open func() *reserver.Reservation, n int64) int64 {
	before := r.Used()
	for {
		v := open()
		if !r.Reserve(v, n) {
			return r.Used() - before
		}
		r.Complete(v)
	}
}

// Guards against large bodies that leave no memory to responses, against responses that leave
// none to bodies, and against both that leave none to small requests.
func TestUsesLeaveRoomForEachOther(t *testing.T) {
	r := reserver.New(total)
	large := func() *reserver.Reservation { return r.OpenBody("", 100*kb) }
	small := func() *reserver.Reservation { return r.OpenBody("", 10*kb) }
	for _, c := range []struct {
		name string
		open func() *reserver.Reservation
		n    int64
		want int64 // in KB
	}{
		{"large bodies alone", large, 50 * kb, 650},
		{"responses beside them", r.OpenResponse, 50 * kb, 300},
		{"small bodies beside both", small, 10 * kb, 50},
	} {
		if got := fill(r, c.open, c.n); got != c.want*kb {
			t.Errorf("%s take %d KB, want %d", c.name, got/kb, c.want)
		}
	}
	r = reserver.New(total)
	if got := fill(r, r.OpenResponse, 50*kb); got != 550*kb {
		t.Errorf("responses alone take %d KB, want 550", got/kb)
	}
	if got := fill(r, large, 50*kb); got != 100*kb {
		t.Errorf("large bodies beside them take %d KB, want 100", got/kb)
	}
}

// Guards against one workspace that takes the whole part of large bodies.
func TestWorkspaceLeavesRoomForOthers(t *testing.T) {
	r := reserver.New(total)
	for range 100 {
		v := r.OpenBody("a", 90*kb)
		r.Reserve(v, 90*kb)
		r.Complete(v)
	}
	held := r.Used()
	if !r.Reserve(r.OpenBody("b", 90*kb), 90*kb) {
		t.Errorf("workspace a holds %d KB, workspace b none", held/kb)
	}
}

// Guards against waiting that ignores the order: small before large, then the workspace
// with the least, then the oldest.
func TestOrderOfWaiting(t *testing.T) {
	r := reserver.New(total)
	full := r.OpenBody("a", 200*kb)
	if !r.Reserve(full, 200*kb) {
		t.Fatal("first body doesn't fit")
	}
	r.Complete(full)
	var rest []*reserver.Reservation
	for r.Used() < 900*kb { // of two workspaces and responses, so that no share of them is exceeded
		v := r.OpenResponse()
		if len(rest) > 4 {
			v = r.OpenBody("small", 50*kb)
		}
		if !r.Reserve(v, 50*kb) {
			t.Fatal("the rest doesn't fit")
		}
		rest = append(rest, v)
	}
	names := map[*reserver.Reservation]string{}
	wait := func(name, workspace string, n int64) {
		v := r.OpenBody(workspace, n)
		if r.Reserve(v, n) {
			t.Fatalf("%s need not wait", name)
		}
		names[v] = name
		r.Wait(v, n)
	}
	wait("a, oldest", "a", 80*kb)
	wait("a, second", "a", 70*kb)
	wait("b", "b", 90*kb)
	if !r.Reserve(r.OpenBody("", 60*kb), 60*kb) {
		t.Error("a small body waits behind large ones")
	}
	wait("small", "c", 60*kb)
	want := []string{"small", "b", "a, oldest"}
	var got []string
	for _, v := range rest {
		for _, g := range r.Release(v) {
			got = append(got, names[g])
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("granted in the order %q, want %q", got, want)
	}
	if r.Waiting() != 1 {
		t.Errorf("%d reservations wait, want 1", r.Waiting())
	}
}

// Guards against bodies that have arrived in part and wait for each other for ever, and
// against bytes that are counted though nobody holds them.
func TestBodiesInPartsAllFinish(t *testing.T) {
	const (
		size  = 120 * kb
		piece = 10 * kb
	)
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := reserver.New(total)
		left := map[*reserver.Reservation]int64{}
		waits := map[*reserver.Reservation]bool{}
		var order, complete []*reserver.Reservation
		for range 40 {
			v := r.OpenBody([]string{"", "a", "b"}[rnd.IntN(3)], size)
			left[v], order = size, append(order, v)
		}
		granted := func(vs []*reserver.Reservation) {
			for _, v := range vs {
				left[v] -= piece
				waits[v] = false
			}
		}
		ended := 0
		for step := 0; ended < len(order); step++ {
			if step > 100000 {
				t.Fatalf("seed %d: %d of %d bodies ended, %d wait", seed, ended, len(order), r.Waiting())
			}
			if len(complete) > 0 && rnd.IntN(10) == 0 {
				i := rnd.IntN(len(complete))
				granted(r.Release(complete[i]))
				complete = append(complete[:i], complete[i+1:]...)
				ended++
				continue
			}
			v := order[rnd.IntN(len(order))]
			if _, ok := left[v]; !ok || waits[v] {
				continue
			}
			if left[v] <= 0 {
				delete(left, v)
				granted(r.Complete(v))
				complete = append(complete, v)
				continue
			}
			if r.Reserve(v, piece) {
				left[v] -= piece
			} else {
				r.Wait(v, piece)
				waits[v] = true
			}
			if r.Used() > total {
				t.Fatalf("seed %d: %d bytes used", seed, r.Used())
			}
		}
		if r.Used() != 0 || r.Waiting() != 0 {
			t.Errorf("seed %d: %d bytes used at the end, %d wait", seed, r.Used(), r.Waiting())
		}
	}
}

// Guards against a body that waits though it can never fit.
func TestBodyThatNeverFits(t *testing.T) {
	r := reserver.New(total)
	v := r.OpenBody("", 700*kb)
	if r.CouldFit(v, 651*kb) || !r.CouldFit(v, 650*kb) {
		t.Error("CouldFit doesn't follow the largest share of a body")
	}
}

// Guards against a reservation that gave up and still holds up those behind it.
func TestWithdrawnReservationHoldsNobodyUp(t *testing.T) {
	r := reserver.New(total)
	first := r.OpenBody("", 400*kb)
	r.Reserve(first, 400*kb)
	large, next := r.OpenBody("", 300*kb), r.OpenBody("", 70*kb)
	if r.Reserve(large, 300*kb) || r.CouldFit(large, 700*kb) {
		t.Fatal("too much fits")
	}
	r.Wait(large, 300*kb)
	if r.Reserve(next, 70*kb) {
		t.Error("a later body overtakes one that waits")
	}
	r.Wait(next, 70*kb)
	if got := r.Withdraw(large); len(got) != 1 || got[0] != next {
		t.Errorf("granted %d reservations", len(got))
	}
}
