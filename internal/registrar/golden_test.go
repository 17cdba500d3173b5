package registrar_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/registrar"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

func TestRegistrationOfProtocolOne(t *testing.T) {
	n := traffic.Node{
		Name: "n", DataCentre: "a", Region: "r", Entry: "10.0.0.1:1", Peer: "10.0.0.1:2", MilliCores: 192, BootID: 3,
		StartedAt: time.Unix(1_700_000_000, 0), Protocol: 1,
	}
	b, err := msgpack.Marshal(&n)
	if err != nil {
		t.Fatal(err)
	}
	got, err := registrar.Decode(testlib.Golden(t, "protocol-1-registration", b))
	if err != nil || !got.StartedAt.Equal(n.StartedAt) {
		t.Fatalf("got %+v, error %v", got, err)
	}
	got.StartedAt = n.StartedAt
	if !reflect.DeepEqual(*got, n) {
		t.Errorf("got %+v, want %+v", *got, n)
	}
}
