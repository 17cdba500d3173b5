package cmd

import (
	"context"
	"runtime/debug"
)

type versionCommand struct{}

func (c *versionCommand) run(_ context.Context, streams ioStreams) error {
	version, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	streams.printf("auburnnotch %s %s\n", version, goVersion)
	return nil
}
