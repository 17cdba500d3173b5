package testlib_test

import (
	"net"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// Guards against a port that another process takes between the moment when a test
// chooses it and the moment when a node listens on it.
func TestPortsOfTwoProcessesDiffer(t *testing.T) {
	a, b := testlib.NewPorts(), testlib.NewPorts() // as in two processes
	seen := map[string]bool{}
	for range 450 { // more than two blocks
		for _, p := range []*testlib.Ports{a, b} {
			addr, err := p.Address()
			if err != nil {
				t.Fatal(err)
			}
			if seen[addr] {
				t.Fatalf("%s was handed out twice", addr)
			}
			seen[addr] = true
		}
	}
	// Ports that the system chooses aren't among them.
	for range 200 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if seen[l.Addr().String()] {
			t.Fatalf("the system chose %s", l.Addr())
		}
	}
}
