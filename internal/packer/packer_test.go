package packer_test

import (
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/auburnnotch/auburnnotch/internal/packer"
)

type inner struct {
	A int64
	B string
}

type embedded struct {
	List []inner
	N    uint64
}

type message struct {
	Name string

	Embedded embedded
	Pointer  *inner
	Raw      []byte
	Words    []string
	Numbers  []uint32
	Share    float64
	Flag     bool
	Hidden   string `msgpack:"-"`
}

// longer is message in a later release.
type longerInner struct {
	A int64
	B string
	C []inner
}

type longer struct {
	Name     string
	Embedded embedded
	Pointer  *longerInner
	More     map[string]int
}

type shorter struct {
	Name     string
	Embedded embedded
	Pointer  *inner
}

func pack(t testing.TB, v any) []byte {
	t.Helper()
	b, err := packer.Pack(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestMessageOfThisReleaseIsReadAsWritten(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) inner {
			return inner{A: rapid.Int64().Draw(r, "a"), B: rapid.String().Draw(r, "b")}
		}), 1, 40)
		in := message{
			Name: rapid.String().Draw(r, "name"), Embedded: embedded{List: list.Draw(r, "list"), N: rapid.Uint64().Draw(r, "n")},
			Raw: rapid.SliceOfN(rapid.Byte(), 1, 30).Draw(r, "raw"), Words: []string{"x"}, Numbers: []uint32{1 << 31},
			Share: rapid.Float64().Draw(r, "share"), Flag: rapid.Bool().Draw(r, "flag"),
		}
		if rapid.Bool().Draw(r, "pointer") {
			in.Pointer = &inner{A: 1}
		}
		var out, byLibrary message
		b := pack(t, &in)
		if err := packer.New(b).Unpack(&out); err != nil {
			r.Fatal(err)
		}
		if err := msgpack.Unmarshal(b, &byLibrary); err != nil {
			r.Fatal(err)
		}
		if !reflect.DeepEqual(out, in) || !reflect.DeepEqual(byLibrary, in) {
			r.Fatalf("got %+v, the library %+v, want %+v", out, byLibrary, in)
		}
	})
}

func TestMessagesOfOtherReleases(t *testing.T) {
	in := longer{Name: "n", Embedded: embedded{List: []inner{{A: 1, B: "b"}}, N: 2}, Pointer: &longerInner{A: 3, B: "c", C: []inner{{}}}, More: map[string]int{"x": 1}}
	var out shorter
	if err := packer.New(pack(t, &in)).Unpack(&out); err != nil {
		t.Fatal(err)
	}
	want := shorter{Name: "n", Embedded: in.Embedded, Pointer: &inner{A: 3, B: "c"}}
	if !reflect.DeepEqual(out, want) {
		t.Errorf("message of a later release: %+v, want %+v", out, want)
	}
	var back longer
	if err := packer.New(pack(t, &want)).Unpack(&back); err != nil {
		t.Fatal(err)
	}
	in.More, in.Pointer.C = nil, nil
	if !reflect.DeepEqual(back, in) {
		t.Errorf("message of an earlier release: %+v, want %+v", back, in)
	}
}

func TestUnreadableMessages(t *testing.T) {
	whole := pack(t, &message{Name: "n", Embedded: embedded{List: make([]inner, 3)}, Raw: []byte("raw")})
	for n := range whole {
		var out message
		if err := packer.New(whole[:n]).Unpack(&out); err == nil && n > 0 {
			t.Errorf("%d of %d bytes were read as a message", n, len(whole))
		}
	}
	// A list that claims more elements than the message has.
	var out message
	if err := packer.New([]byte{0x92, 0xa1, 'n', 0x92, 0xdd, 0xff, 0xff, 0xff, 0xff}).Unpack(&out); err == nil {
		t.Error("a list without its elements was read")
	}
}

// Guards against a short message that ends the process, since it claims to have a list of
// billions of elements.
func TestListsThatDoNotExistTakeNoMemory(t *testing.T) {
	const many = "\xdd\xff\xff\xff\xff" // the head of a list of 2^32-1 elements
	for name, b := range map[string]string{
		"structs":         "\x92\xa1n\x91" + many,
		"words":           "\x95\xa1n\xc0\xc0\xc0" + many,
		"numbers":         "\x96\xa1n\xc0\xc0\xc0\xc0" + many,
		"a byte for each": "\x92\xa1n\x91\xdd\x00\x40\x00\x00" + strings.Repeat("\x90", 4<<20),
		"by name":         "\x82\xa4Name\xa1n\xa7Numbers" + many,
	} {
		encoded := []byte(b)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var out message
		if err := packer.New(encoded).Unpack(&out); err == nil {
			t.Errorf("%s: read as a message", name)
		}
		runtime.ReadMemStats(&after)
		if size := after.TotalAlloc - before.TotalAlloc; size > 4<<20 {
			t.Errorf("%s: %d MB were allocated", name, size>>20)
		}
	}
}

// Guards against a deeply nested message or entry of the store that exhausts the memory of
// every node that reads it: the library skips what it doesn't know recursively.
func TestDeeplyNestedMessagesAreRejected(t *testing.T) {
	const levels = 1 << 20
	arrays, maps := strings.Repeat("\x91", levels), strings.Repeat("\x81\xc0", levels)
	for name, b := range map[string]string{
		"additional field":       "\x9a\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0" + arrays,
		"additional field, maps": "\x9a\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0" + maps,
		"field of a list":        "\x92\xa1n\x91\x91\x93\x01\xa1b" + arrays,
		"field of a pointer":     "\x93\xa1n\xc0\x93\x01\xa1b" + maps,
		"unknown field by name":  "\x82\xa4Name\xa1n\xa1x" + arrays,
		"unknown field, maps":    "\x82\xa4Name\xa1n\xa1x" + maps,
		"by name, in a list":     "\x92\xa1n\x91\x91\x81\xa1x" + arrays,
		"arrays":                 arrays,
		"maps":                   maps,
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var out message
		if err := packer.New([]byte(b)).Unpack(&out); err == nil {
			t.Errorf("%s: read as a message", name)
		}
		runtime.ReadMemStats(&after)
		if grown := int64(after.StackSys) - int64(before.StackSys); grown > 4<<20 {
			t.Errorf("%s: the stack grew by %d MB", name, grown>>20)
		}
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add(pack(f, &message{Name: "n", Embedded: embedded{List: make([]inner, 2)}}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var out message
		_ = packer.New(b).Unpack(&out) // must not panic
	})
}
