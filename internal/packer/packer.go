package packer

import (
	"bytes"
	"reflect"
	"sync"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxInitialElements bounds the elements that are allocated for a list before they are
// read. A message may claim any length.
const maxInitialElements = 1024

// maxElements bounds a list. An element takes a byte of the message at least, and up to a
// hundred times as much in memory.
const maxElements = 1 << 16

// Pack encodes a message. Structs are encoded as arrays, since field names would triple
// the size of a message.
func Pack(v any) ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}

// maxDepth bounds the nesting of what is skipped or decoded by name. The library does
// both recursively.
const maxDepth = 32

// Unpacker decodes one message.
type Unpacker struct {
	message []byte
	r       *bytes.Reader // read by d without a buffer
	d       *msgpack.Decoder
}

// New returns an Unpacker of an encoded message.
func New(message []byte) *Unpacker {
	r := bytes.NewReader(message)
	return &Unpacker{message: message, r: r, d: msgpack.NewDecoder(r)}
}

// Unpack decodes the message into dst, a pointer to a struct or to a list. Structs may be encoded as
// arrays or as maps by name.
func (u *Unpacker) Unpack(dst any) error {
	return errors.Trace(u.unpackValue(reflect.ValueOf(dst).Elem()))
}

func (u *Unpacker) unpackValue(v reflect.Value) error {
	switch v.Kind() {
	case reflect.Struct:
		return u.unpackStruct(v)
	case reflect.Slice:
		if v.Type().Elem().Kind() != reflect.Uint8 {
			return u.unpackList(v)
		}
	case reflect.Pointer:
		if v.Type().Elem().Kind() == reflect.Struct {
			return u.unpackPointer(v)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n, err := u.d.DecodeInt64()
		v.SetInt(n)
		return err
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := u.d.DecodeUint64()
		v.SetUint(n)
		return err
	default:
	}
	return u.d.DecodeValue(v)
}

func (u *Unpacker) unpackStruct(v reflect.Value) error {
	fields := fieldsOf(v.Type())
	code, err := u.d.PeekCode()
	if err != nil {
		return err
	}
	if isMap(code) {
		if err := New(u.message[len(u.message)-u.r.Len():]).skip(0); err != nil {
			return err
		}
	}
	if !isArray(code) { // by name, or a type with an encoding of its own
		return u.d.DecodeValue(v)
	}
	n, err := u.d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i >= len(fields) {
			err = u.skip(0)
		} else {
			err = u.unpackValue(v.FieldByIndex(fields[i]))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// skip skips a value at a depth. It returns an error if the value is nested too deeply.
func (u *Unpacker) skip(depth int) error {
	code, err := u.d.PeekCode()
	if err != nil {
		return err
	}
	var n int
	switch {
	case isArray(code):
		n, err = u.d.DecodeArrayLen()
	case isMap(code):
		n, err = u.d.DecodeMapLen()
		n *= 2 // names and values
	default:
		return u.d.Skip()
	}
	if depth >= maxDepth {
		return errors.NotValidf("message nested more than %d levels deep", maxDepth)
	}
	for i := 0; i < n && err == nil; i++ {
		err = u.skip(depth + 1)
	}
	return err
}

func (u *Unpacker) unpackList(v reflect.Value) error {
	n, err := u.d.DecodeArrayLen()
	if err != nil || n < 0 {
		v.SetZero()
		return err
	}
	if n > maxElements {
		return errors.NotValidf("list of %d elements", n)
	}
	list := reflect.MakeSlice(v.Type(), 0, min(n, maxInitialElements))
	element := reflect.New(v.Type().Elem()).Elem()
	for range n {
		element.SetZero()
		if err := u.unpackValue(element); err != nil {
			return err
		}
		list = reflect.Append(list, element)
	}
	v.Set(list)
	return nil
}

func (u *Unpacker) unpackPointer(v reflect.Value) error {
	code, err := u.d.PeekCode()
	if err != nil {
		return err
	}
	if code == nilCode {
		v.SetZero()
		return u.d.DecodeNil()
	}
	v.Set(reflect.New(v.Type().Elem()))
	return u.unpackValue(v.Elem())
}

// Codes of the format.
const (
	nilCode       = 0xc0
	fixArrayFirst = 0x90
	fixArrayLast  = 0x9f
	array16Code   = 0xdc
	array32Code   = 0xdd
	fixMapFirst   = 0x80
	fixMapLast    = 0x8f
	map16Code     = 0xde
	map32Code     = 0xdf
)

func isArray(code byte) bool {
	return code >= fixArrayFirst && code <= fixArrayLast || code == array16Code || code == array32Code
}

func isMap(code byte) bool {
	return code >= fixMapFirst && code <= fixMapLast || code == map16Code || code == map32Code
}

var fieldCache sync.Map // of reflect.Type to [][]int

// fieldsOf returns the indexes of the encoded fields of a struct, those of embedded
// structs in place of these.
func fieldsOf(t reflect.Type) [][]int {
	if known, ok := fieldCache.Load(t); ok {
		return known.([][]int)
	}
	fields := appendFields(nil, t, nil)
	fieldCache.Store(t, fields)
	return fields
}

func appendFields(fields [][]int, t reflect.Type, parent []int) [][]int {
	for i := range t.NumField() {
		f := t.Field(i)
		index := append(append([]int(nil), parent...), i)
		switch {
		case f.Tag.Get("msgpack") == "-" || !f.IsExported():
		case f.Anonymous && f.Type.Kind() == reflect.Struct:
			fields = appendFields(fields, f.Type, index)
		default:
			fields = append(fields, index)
		}
	}
	return fields
}
