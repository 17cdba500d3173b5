// Command standin runs a stand-in for one of the systems that the router depends
// on: the platform's key-value service, a model engine or a plain service.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/auburnnotch/auburnnotch/internal/standin/engine"
	"github.com/auburnnotch/auburnnotch/internal/standin/kvstore"
	"github.com/auburnnotch/auburnnotch/internal/standin/plainservice"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
)

type listenArgs struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"IP number and port"`
}

type engineArgs struct {
	listenArgs
	Name          string        `arg:"--name" default:"engine"`
	Model         string        `arg:"--model" default:"assistant"`
	Version       string        `arg:"--version" default:"v1"`
	Slots         int           `arg:"--slots" default:"64"`
	CachePieces   int           `arg:"--cache-pieces" default:"256"`
	PieceBytes    int           `arg:"--piece-bytes" default:"8192"`
	PieceTime     time.Duration `arg:"--piece-time" default:"20ms"`
	TokenTime     time.Duration `arg:"--token-time" default:"5ms"`
	ChecksFencing bool          `arg:"--checks-fencing"`
	PoisonText    string        `arg:"--poison-text"`
}

type arguments struct {
	Platform *listenArgs `arg:"subcommand:platform" help:"key-value service with compare-and-swap, leases and watches"`
	Engine   *engineArgs `arg:"subcommand:engine" help:"model engine with a prefix cache"`
	Service  *listenArgs `arg:"subcommand:service" help:"plain service"`
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	clk := systemclock.New()
	switch {
	case a.Platform != nil:
		serve(a.Platform.Listen, kvstore.New(clk))
	case a.Engine != nil:
		e := a.Engine
		serve(e.Listen, engine.New(engine.Options{
			Name: e.Name, Model: e.Model, Version: e.Version, Slots: e.Slots, CachePieces: e.CachePieces,
			PieceBytes: e.PieceBytes, PieceTime: e.PieceTime, TokenTime: e.TokenTime,
			ChecksFencing: e.ChecksFencing, PoisonText: e.PoisonText,
		}, clk))
	case a.Service != nil:
		serve(a.Service.Listen, plainservice.New(clk))
	default:
		p.Fail("name a stand-in")
	}
}

func serve(addr string, h http.Handler) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	fmt.Println("listening on", ln.Addr())
	if err := http.Serve(ln, h); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
