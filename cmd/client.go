package cmd

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/front"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// nodeClient names the node that a command asks.
type nodeClient struct {
	Node string `arg:"--node,env:AUBURNNOTCH_NODE" default:"127.0.0.1:8080" help:"address of any node"`
	Key  string `arg:"--key,env:AUBURNNOTCH_KEY" help:"bearer key of the operators"`
}

const callTimeout = 15 * time.Second

func (t nodeClient) sling() *sling.Sling {
	s := sling.New().Base("http://" + t.Node).Client(&http.Client{Timeout: callTimeout})
	if t.Key != "" {
		s = s.Set("Authorization", "Bearer "+t.Key)
	}
	return s
}

func fetch(ctx context.Context, s *sling.Sling, dst any) error {
	req, err := s.Request()
	if err != nil {
		return errors.Trace(err)
	}
	var refused wire.ErrorBody
	resp, err := s.Do(req.WithContext(ctx), dst, &refused)
	if err != nil {
		return errors.Annotate(err, "ask the node; is it running, and is --node its address?")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("node answered %d %s: %s", resp.StatusCode, refused.Error.Kind, refused.Error.Message)
	}
	return nil
}

func (t nodeClient) status(ctx context.Context) (front.Status, error) {
	var s front.Status
	err := fetch(ctx, t.sling().Get("/v1/status"), &s)
	return s, err
}

func (t nodeClient) declaration(ctx context.Context) (front.DeclarationResponse, error) {
	var d front.DeclarationResponse
	err := fetch(ctx, t.sling().Get("/v1/declaration"), &d)
	return d, err
}

type submitParams struct {
	File string  `url:"file,omitempty"`
	Base *uint64 `url:"base,omitempty"`
}

// submit sends a declaration. The answer holds the problems of a refused one.
func (t nodeClient) submit(ctx context.Context, file string, text []byte, base *uint64) (front.SubmitResponse, error) {
	var done, refused front.SubmitResponse
	s := t.sling().Put("/v1/declaration").QueryStruct(&submitParams{File: file, Base: base}).Body(bytes.NewReader(text))
	req, err := s.Request()
	if err != nil {
		return done, errors.Trace(err)
	}
	resp, err := s.Do(req.WithContext(ctx), &done, &refused)
	switch {
	case err != nil:
		return done, errors.Annotate(err, "submit the declaration; `auburnnotch status` shows what is in force")
	case resp.StatusCode == http.StatusOK:
		return done, nil
	}
	lines := []string{"refused"}
	if refused.Error != nil {
		lines[0] = refused.Error.Kind + ": " + refused.Error.Message
	}
	for _, p := range refused.Problems {
		lines = append(lines, p.String())
	}
	return refused, errors.New(strings.Join(lines, "\n"))
}
