package headerreader_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/headerreader"
)

func TestRetryAfter(t *testing.T) {
	const date = "Sun, 06 Dec 2026 09:00:00 GMT"
	for name, c := range map[string]struct {
		values []string
		want   time.Duration
	}{
		"seconds":    {[]string{"3"}, 3 * time.Second},
		"fraction":   {[]string{" 0.25 "}, 250 * time.Millisecond},
		"date":       {[]string{"Sun, 06 Dec 2026 09:00:20 GMT"}, 20 * time.Second},
		"past date":  {[]string{"Sun, 06 Dec 2026 08:59:00 GMT"}, 0},
		"longest":    {[]string{"1", "x", "4"}, 4 * time.Second},
		"none":       {nil, 0},
		"zero":       {[]string{"0"}, 0},
		"negative":   {[]string{"-3"}, 0},
		"no number":  {[]string{"NaN"}, 0},
		"infinite":   {[]string{"Inf"}, 0},
		"text":       {[]string{"soon"}, 0},
		"very large": {[]string{"1e400"}, 1e9 * time.Second},
	} {
		h := http.Header{"Date": {date}, "Retry-After": c.values}
		if got := headerreader.RetryAfter(h); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestRate(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		rate   float64
		ok     bool
	}{
		"decimal":  {[]string{"1.5"}, 1.5, true},
		"lowest":   {[]string{"3", "x", " 2 "}, 2, true},
		"zero":     {[]string{"0"}, 0, true},
		"negative": {[]string{"-1"}, 0, false},
		"infinite": {[]string{"Inf"}, 0, false},
		"NaN":      {[]string{"NaN"}, 0, false},
		"none":     {nil, 0, false},
	} {
		if rate, ok := headerreader.Rate(http.Header{"X-Rate": c.values}, "X-Rate"); rate != c.rate || ok != c.ok {
			t.Errorf("%s: %v, %t, want %v, %t", name, rate, ok, c.rate, c.ok)
		}
	}
}
