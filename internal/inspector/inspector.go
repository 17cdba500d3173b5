package inspector

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"github.com/auburnnotch/auburnnotch/internal/loader"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/linter"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

// Form is the form of a configuration file.
type Form string

// The forms.
const (
	Declaration Form = "declaration"
	Platform    Form = "platform"
)

// Unclear is the error for a file whose form its content doesn't tell.
const Unclear = errors.ConstError("unclear form of configuration")

// Configuration is the content of a configuration file.
type Configuration struct {
	Form Form
	View linter.View
	// Findings are in the order of their lines.
	Findings    []linter.Finding
	declaration *config.Declaration // nil if it can't be decoded
}

// Decoded reports whether the View has the content of the file. A declaration with unknown fields
// or wrong types isn't decoded.
func (c *Configuration) Decoded() bool { return c.Form != Declaration || c.declaration != nil }

// Inspect checks the content of a file as the successor of prev, which may be nil. An empty form
// is told by the content. The error reports content that can't be read.
func Inspect(now time.Time, text []byte, form Form, prev *Configuration) (*Configuration, error) {
	names, err := topFields(text)
	if err != nil {
		return nil, err
	}
	if form == "" {
		if form, err = formOf(names); err != nil {
			return nil, err
		}
	}
	var c *Configuration
	switch form {
	case Declaration:
		c = inspectDeclaration(now, text, prev)
	case Platform:
		if c, err = inspectPlatform(text, prev); err != nil {
			return nil, err
		}
	default:
		return nil, errors.NotValidf("form %q", form)
	}
	slices.SortStableFunc(c.Findings, func(a, b linter.Finding) int { return a.Line - b.Line })
	return c, nil
}

func inspectPlatform(text []byte, prev *Configuration) (*Configuration, error) {
	checked, err := translate.CheckConfig(text, math.MaxInt)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := &Configuration{Form: Platform, View: checked.View, Findings: checked.Findings}
	if prev == nil {
		return c, nil
	}
	if before, after := prev.View.Catalog.Version, c.View.Catalog.Version; after > 0 && after <= before {
		c.Findings = append(c.Findings, linter.Finding{
			Code: linter.VersionNotIncreased, Severity: linter.Error, Path: translate.VersionField, Line: checked.VersionLine,
			Text: fmt.Sprintf("version %d isn't above %d, so that nodes ignore the configuration", after, before),
		})
	}
	return c, nil
}

// topFields returns the names of the fields at the top of a JSON document with or without
// comments.
func topFields(text []byte) ([]string, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, errors.Trace(err)
	}
	o, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil, errors.NotValidf("configuration that is no object")
	}
	names := make([]string, 0, len(o.Members))
	for _, m := range o.Members {
		lit, _ := m.Name.Value.(hujson.Literal)
		names = append(names, lit.String())
	}
	return names, nil
}

// formOf returns the form that has most of the given fields.
func formOf(names []string) (Form, error) {
	declaration, platform := 0, 0
	t := reflect.TypeFor[config.Declaration]()
	for _, n := range names {
		for f := range t.Fields() {
			if tag, _, _ := strings.Cut(f.Tag.Get("json"), ","); tag == n {
				declaration++
			}
		}
		if translate.IsConfigField(n) {
			platform++
		}
	}
	switch {
	case declaration > platform:
		return Declaration, nil
	case platform > declaration:
		return Platform, nil
	}
	return "", Unclear
}

func inspectDeclaration(now time.Time, text []byte, prev *Configuration) *Configuration {
	var d config.Declaration
	l := loader.New("", text)
	c := &Configuration{Form: Declaration}
	problems, code := l.Load(&d), linter.FieldInvalid
	declared := linter.FromDeclaration(d)
	c.View = declared.View
	if len(problems) == 0 {
		c.declaration = &d
		var before *config.Declaration
		if prev != nil {
			before = prev.declaration
		}
		problems, code = d.Check(now, before), linter.DeclarationInvalid
	}
	reported := map[string]bool{}
	for _, p := range problems {
		reported[p.Field] = true
		c.Findings = append(c.Findings, linter.Finding{
			Code: code, Severity: linter.Error, Path: p.Field, Line: l.Line(p.Field), Text: p.Fault + "; " + p.Remedy,
		})
	}
	if c.declaration != nil {
		findings, _ := linter.Check(declared.View, math.MaxInt)
		for _, f := range findings {
			// Package config has rules for some of the same faults.
			if f.Path = declared.Path(f.Ref); !reported[f.Path] {
				f.Line = l.Line(f.Path)
				c.Findings = append(c.Findings, f)
			}
		}
	}
	return c
}
