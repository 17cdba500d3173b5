package registrar_test

import (
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/registrar"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Guards against odd registrations of nodes that callers or messages are directed to, or
// that become aggregators.
func TestOddRegistrationsNameNoNode(t *testing.T) {
	sound := traffic.Node{Name: "n", Entry: "10.0.0.1:1", Peer: "10.0.0.1:2", MilliCores: 192}
	for name, change := range map[string]func(n *traffic.Node){
		"no name":          func(n *traffic.Node) { n.Name = "" },
		"no entry":         func(n *traffic.Node) { n.Entry = "" },
		"no port":          func(n *traffic.Node) { n.Entry = "10.0.0.1" },
		"port 0":           func(n *traffic.Node) { n.Entry = "10.0.0.1:0" },
		"port too large":   func(n *traffic.Node) { n.Peer = "10.0.0.1:65536" },
		"host name":        func(n *traffic.Node) { n.Peer = "node.example:2" },
		"no peer":          func(n *traffic.Node) { n.Peer = "" },
		"negative share":   func(n *traffic.Node) { n.MilliCores = -1 },
		"share too large":  func(n *traffic.Node) { n.MilliCores = math.MaxInt },
		"nothing but nils": func(n *traffic.Node) { *n = traffic.Node{} },
	} {
		odd := sound
		change(&odd)
		b, err := msgpack.Marshal(&odd)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := registrar.Decode(b); err == nil {
			t.Errorf("%s: decoded %+v", name, n)
		}
	}
	for _, value := range []string{"", "\xc0", "\x90", "\x80", "null", "\xdf\xff\xff\xff\xff", "\x91" + "\xdb\xff\xff\xff\xff"} {
		if n, err := registrar.Decode([]byte(value)); err == nil {
			t.Errorf("%q: decoded %+v", value, n)
		}
	}
}
