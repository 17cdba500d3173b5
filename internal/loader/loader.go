// Package loader reads JSON with comments into the types of package config and
// reports every fault of a file at once, each with its line.
package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Loader reads one file.
type Loader struct {
	name    string
	data    []byte
	offsets map[string]int
	faults  []config.Problem
}

// New returns a Loader of data, which was read from the file called name.
func New(name string, data []byte) *Loader {
	return &Loader{name: name, data: data, offsets: map[string]int{}}
}

// Load decodes the file into dst, a pointer to a struct. The problems are
// those of syntax, unknown fields and wrong types.
func (l *Loader) Load(dst any) []config.Problem {
	root, err := hujson.Parse(l.data)
	if err != nil {
		return []config.Problem{{Field: l.name, Fault: err.Error(), Remedy: "correct the JSON"}}
	}
	l.walk("", root, reflect.TypeOf(dst).Elem())
	if len(l.faults) > 0 {
		return l.faults
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), dst); err != nil {
		return []config.Problem{{Field: l.name, Fault: err.Error(), Remedy: "correct the value"}}
	}
	return nil
}

// Locate returns problems with their fields preceded by file and line.
func (l *Loader) Locate(problems []config.Problem) []config.Problem {
	out := make([]config.Problem, len(problems))
	for i, p := range problems {
		p.Field = fmt.Sprintf("%s:%d: %s", l.name, l.line(p.Field), p.Field)
		out[i] = p
	}
	return out
}

func (l *Loader) line(field string) int {
	for field != "" {
		if off, ok := l.offsets[field]; ok {
			return 1 + bytes.Count(l.data[:off], []byte("\n"))
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 1
}

var timeType = reflect.TypeFor[time.Time]()

func (l *Loader) walk(path string, v hujson.Value, t reflect.Type) {
	l.offsets[path] = v.StartOffset
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch val := v.Value.(type) {
	case *hujson.Object:
		l.walkObject(path, val, t)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			l.fault(path, "is a list, wants "+describe(t))
			return
		}
		for i, e := range val.Elements {
			l.walk(fmt.Sprintf("%s[%d]", path, i), e, t.Elem())
		}
	case hujson.Literal:
		if !fits(val, t) {
			l.fault(path, fmt.Sprintf("is %s, wants %s", string(val), describe(t)))
		}
	}
}

func (l *Loader) walkObject(path string, o *hujson.Object, t reflect.Type) {
	if t.Kind() != reflect.Struct || t == timeType {
		l.fault(path, "is an object, wants "+describe(t))
		return
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		lit, _ := m.Name.Value.(hujson.Literal)
		name := lit.String()
		child := strings.TrimPrefix(path+"."+name, ".")
		ft, ok := fieldType(t, name)
		l.offsets[child] = m.Name.StartOffset
		switch {
		case !ok:
			l.faults = append(l.faults, config.Problem{
				Field: child, Fault: "unknown field", Remedy: "use one of " + strings.Join(fieldNames(t), ", "),
			})
		case seen[name]:
			l.faults = append(l.faults, config.Problem{Field: child, Fault: "stands twice", Remedy: "remove one"})
		default:
			l.walk(child, m.Value, ft)
		}
		seen[name] = true
	}
}

func (l *Loader) fault(path, fault string) {
	l.faults = append(l.faults, config.Problem{Field: path, Fault: fault, Remedy: "correct the value"})
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for f := range t.Fields() {
		if tag, _, _ := strings.Cut(f.Tag.Get("json"), ","); tag == name {
			return f.Type, true
		}
	}
	return nil, false
}

func fits(lit hujson.Literal, t reflect.Type) bool {
	switch lit.Kind() {
	case 'n':
		return true
	case '"':
		if t == timeType {
			_, err := time.Parse(time.RFC3339, lit.String())
			return err == nil
		}
		return t.Kind() == reflect.String
	case 't', 'f':
		return t.Kind() == reflect.Bool
	default:
		dst := reflect.New(t)
		return json.Unmarshal(lit, dst.Interface()) == nil && t.Kind() != reflect.Struct
	}
}

func describe(t reflect.Type) string {
	switch {
	case t == timeType:
		return "a time such as 2027-03-31T18:00:00Z"
	case t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.String:
		return "a string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	default:
		return "a number (" + t.String() + ")"
	}
}

// Join returns one error that holds every problem, nil for none.
func Join(problems []config.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return errors.NewNotValid(nil, strings.Join(lines, "\n"))
}
