// Package loader decodes JSON with comments into the types of package config. It
// reports all problems of a file at once, each with its line number.
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

// Loader decodes one file.
type Loader struct {
	fileName string
	data     []byte
	offsets  map[string]int
	problems []config.Problem
}

// New returns a Loader of data, the contents of the file fileName.
func New(fileName string, data []byte) *Loader {
	return &Loader{fileName: fileName, data: data, offsets: map[string]int{}}
}

// Load decodes the file into dst, a pointer to a struct. It reports syntax errors,
// unknown and duplicate fields, and values of the wrong type.
func (l *Loader) Load(dst any) []config.Problem {
	root, err := hujson.Parse(l.data)
	if err != nil {
		return []config.Problem{{Field: l.fileName, Fault: err.Error(), Remedy: "correct the JSON"}}
	}
	l.check("", root, reflect.TypeOf(dst).Elem())
	if len(l.problems) > 0 {
		return l.problems
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), dst); err != nil {
		return []config.Problem{{Field: l.fileName, Fault: err.Error(), Remedy: "correct the value"}}
	}
	return nil
}

// Locate returns the problems with the file name and line number added to their
// fields.
func (l *Loader) Locate(problems []config.Problem) []config.Problem {
	out := make([]config.Problem, len(problems))
	for i, p := range problems {
		p.Field = fmt.Sprintf("%s:%d: %s", l.fileName, l.Line(p.Field), p.Field)
		out[i] = p
	}
	return out
}

// Line returns the line of a field, or of the closest enclosing field that the
// file contains.
func (l *Loader) Line(field string) int {
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

// check records the offset of v and the problems of v as a value of type t.
func (l *Loader) check(path string, v hujson.Value, t reflect.Type) {
	l.offsets[path] = v.StartOffset
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch val := v.Value.(type) {
	case *hujson.Object:
		l.checkObject(path, val, t)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			l.addProblem(path, "is a list, wants "+describeType(t))
			return
		}
		for i, e := range val.Elements {
			l.check(fmt.Sprintf("%s[%d]", path, i), e, t.Elem())
		}
	case hujson.Literal:
		if !matchesType(val, t) {
			l.addProblem(path, fmt.Sprintf("is %s, wants %s", string(val), describeType(t)))
		}
	}
}

func (l *Loader) checkObject(path string, o *hujson.Object, t reflect.Type) {
	if t.Kind() != reflect.Struct || t == timeType {
		l.addProblem(path, "is an object, wants "+describeType(t))
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
			l.problems = append(l.problems, config.Problem{
				Field: child, Fault: "unknown field", Remedy: "use one of " + strings.Join(fieldNames(t), ", "),
			})
		case seen[name]:
			l.problems = append(l.problems, config.Problem{Field: child, Fault: "stands twice", Remedy: "remove one"})
		default:
			l.check(child, m.Value, ft)
		}
		seen[name] = true
	}
}

func (l *Loader) addProblem(path, fault string) {
	l.problems = append(l.problems, config.Problem{Field: path, Fault: fault, Remedy: "correct the value"})
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

// matchesType reports whether a literal can be decoded into t.
func matchesType(lit hujson.Literal, t reflect.Type) bool {
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

func describeType(t reflect.Type) string {
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

// Join returns one error with all problems, or nil if there are none.
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
