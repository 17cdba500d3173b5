package feeder

import (
	"reflect"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

func TestRequestAndChangesOfProtocolOne(t *testing.T) {
	r := request{From: "n", Since: 1}
	b, err := packer.Pack(&r)
	if err != nil {
		t.Fatal(err)
	}
	var gotRequest request
	if err := packer.New(testlib.Golden(t, "protocol-1-changes-request", b)).Unpack(&gotRequest); err != nil || gotRequest != r {
		t.Errorf("got %+v, error %v", gotRequest, err)
	}
	c := observer.Changes{Since: 1, To: 2, Hash: 3, Gap: true, OperatorsOmitted: true, Items: []platform.Item{
		{Key: "k", Value: []byte("v"), Revision: 2, Created: 1}, {Key: "l", Value: []byte{}, Revision: 2, Removed: true},
	}}
	// The fields of that protocol.
	if b, err = packer.Pack(&struct {
		Since, To, Hash       uint64
		Gap, OperatorsOmitted bool
		Items                 []platform.Item
	}{c.Since, c.To, c.Hash, c.Gap, c.OperatorsOmitted, c.Items}); err != nil {
		t.Fatal(err)
	}
	var gotChanges observer.Changes
	if err := packer.New(testlib.Golden(t, "protocol-1-changes", b)).Unpack(&gotChanges); err != nil || !reflect.DeepEqual(gotChanges, c) {
		t.Errorf("got %+v, error %v", gotChanges, err)
	}
	compressed, err := compress(&c)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decompress(compressed); err != nil || !reflect.DeepEqual(got, c) {
		t.Errorf("decompressed %+v, error %v", got, err)
	}
}

func TestChangesOfProtocolSeven(t *testing.T) {
	c := observer.Changes{Since: 1, To: 2, Hash: 3, Items: []platform.Item{{Key: "k", Value: []byte("v"), Revision: 2, Created: 1}}, CompleteTo: 1 << 40}
	b, err := packer.Pack(&c)
	if err != nil {
		t.Fatal(err)
	}
	var got observer.Changes
	if err := packer.New(testlib.Golden(t, "protocol-7-changes", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, c) {
		t.Errorf("got %+v, error %v", got, err)
	}
}
