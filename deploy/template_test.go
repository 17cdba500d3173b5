// Package deploy_test fills the template of the settings as the platform does.
package deploy_test

import (
	"encoding/json"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/loader"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// fields are the values that the platform fills in, by their dotted path.
type fields map[string]any

func platformFields() fields {
	return fields{
		"node": "edge-1", "zone": "a", "region": "r", "ip": "10.1.0.30",
		"listen.front": "10.1.0.30:8782", "listen.ready": "10.1.0.30:8789", "listen.directory": "10.1.0.30:8780",
		"port-range.0": 7340, "platform.address": "10.200.1.7:8784",
		"limits.cpu-share": 0.4, "limits.memory-mb": 134,
		"bounds.revoke-ms": 5000, "bounds.retry-budget-ratio": 0.2, "bounds.retry-window-s": 10, "bounds.retry-slack": 58,
		"bounds.grace-s": 8, "bounds.lease-ms": 3000, "bounds.version-ms": 12000, "bounds.ttl_max_s": 5,
	}
}

var (
	section     = regexp.MustCompile(`\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)
)

// fill renders the part of the platform's template language that the template uses.
func fill(t *testing.T, template string, f fields) []byte {
	t.Helper()
	out := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if _, ok := f[m[1]]; !ok {
			return ""
		}
		return m[2]
	})
	out = placeholder.ReplaceAllStringFunc(out, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, ok := f[m[1]]
		if text, isText := v.(string); isText && m[2] == "" || !ok {
			return text
		}
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	})
	return []byte(out)
}

func load(t *testing.T, f fields) (config.EntrySettings, []config.Problem) {
	t.Helper()
	template, err := os.ReadFile("entry.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	var s config.EntrySettings
	l := loader.New("local.toml", fill(t, string(template), f))
	if problems := l.Load(&s); len(problems) > 0 {
		return s, l.Locate(problems)
	}
	s = s.WithDefaults()
	return s, l.Locate(s.Check())
}

// Every number of the platform may be scaled, or be missing, in a deployment.
func TestNumbersOfThePlatform(t *testing.T) {
	// The setting that each field of the platform fills.
	settings := map[string]string{
		"limits.cpu-share": "processorShare", "limits.memory-mb": "memoryMB",
		"bounds.revoke-ms": "revokeMS", "bounds.retry-budget-ratio": "retryRatio", "bounds.retry-window-s": "retryWindowSeconds",
		"bounds.retry-slack": "retryAllowance", "bounds.grace-s": "graceSeconds", "bounds.lease-ms": "orderGapMS",
		"bounds.version-ms": "weightsMS", "bounds.ttl_max_s": "entrySeconds",
	}
	for field, setting := range settings {
		required := setting == "memoryMB"
		for _, tc := range []struct {
			name  string
			value any // nil if the field is absent
			valid bool
		}{
			{"whole number", 33, true},
			{"fraction", 33.1578947368421, true},
			{"absent", nil, !required},
			{"zero", 0, !required},
			{"negative", -1.5, false},
			{"text", "33", false},
		} {
			t.Run(strings.Join([]string{setting, tc.name}, " "), func(t *testing.T) {
				f := platformFields()
				f[field] = tc.value
				if tc.value == nil {
					delete(f, field)
				}
				_, problems := load(t, f)
				if tc.valid && len(problems) > 0 {
					t.Fatalf("rejected: %v", problems)
				}
				if tc.valid {
					return
				}
				if len(problems) != 1 || !strings.HasSuffix(problems[0].Field, ": "+setting) || problems[0].Fault == "" || problems[0].Remedy == "" {
					t.Errorf("want one problem that names %s and its fix, got %+v", setting, problems)
				}
			})
		}
	}
}

// A fraction takes effect as such and isn't rounded to zero.
func TestFractionIsKept(t *testing.T) {
	f := platformFields()
	f["bounds.retry-slack"], f["limits.memory-mb"] = 0.5, 112.25
	s, problems := load(t, f)
	if len(problems) > 0 || s.RetryAllowance != 0.5 || s.MemoryMB != 112.25 {
		t.Errorf("got %s and %s, problems %v", strconv.FormatFloat(s.RetryAllowance, 'g', -1, 64), strconv.FormatFloat(s.MemoryMB, 'g', -1, 64), problems)
	}
}
