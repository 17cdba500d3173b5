package cmd

import (
	"os"
	"os/signal"
	"syscall"
)

// ignoreSignals keeps the signals that would end a daemon without its graceful shutdown from
// doing so, from now on: SIGHUP, which the reloader handles only while the services run, and
// SIGPIPE, which a write to a log without a reader raises.
func ignoreSignals() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGPIPE)
}
