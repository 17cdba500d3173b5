package cmd_test

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/auburnnotch/auburnnotch/cmd"
)

// argumentsVariable holds the arguments with which the test binary runs as the program.
const argumentsVariable = "AUBURNNOTCH_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if args := os.Getenv(argumentsVariable); args != "" {
		os.Exit(cmd.Execute(strings.Fields(args), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A SIGHUP that came before the daemon had started its services ended the process, and with it
// the connections in its listen queues.
func TestHangupWhileSettingsAreReadDoesNotEndProcess(t *testing.T) {
	for _, command := range []string{"serve", "serve-platform"} {
		t.Run(command, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.json")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			daemon := exec.Command(os.Args[0])
			daemon.Env = append(os.Environ(), argumentsVariable+"="+command+" "+path)
			if err := daemon.Start(); err != nil {
				t.Fatal(err)
			}
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the daemon reads
			if err != nil {
				t.Fatal(err)
			}
			if err := daemon.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			if _, err := settings.WriteString("no settings"); err != nil {
				t.Log(err) // the process has ended
			}
			_ = settings.Close()
			_ = daemon.Wait() // the state tells how it ended
			if s := daemon.ProcessState; s.ExitCode() != 1 {
				t.Errorf("the process ended with %q, want an exit status for wrong settings", s)
			}
		})
	}
}

// A daemon whose log reader had gone ended at its next line, and closed its callers' connections
// without an answer.
func TestClosedLogDoesNotEndProcess(t *testing.T) {
	for command, settings := range map[string]string{
		"serve": `{"name": "a", "dataCentre": "dc-1", "listen": "127.0.0.1:0", "peerListen": "127.0.0.1:0", "peerSecret": "sixteen characters", "platform": "http://127.0.0.1:9"}`,
		"serve-platform": `{"name": "a", "dataCentre": "dc-1", "callerListen": "127.0.0.1:0", "readyListen": "127.0.0.1:0", "directoryListen": "127.0.0.1:0",
			"peerListen": "127.0.0.1:0", "store": "127.0.0.1:9", "graceSeconds": 1, "memoryMB": 128}`,
	} {
		t.Run(command, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.json")
			if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
				t.Fatal(err)
			}
			lines, log, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			daemon := exec.Command(os.Args[0])
			daemon.Env = append(os.Environ(), argumentsVariable+"="+command+" "+path)
			daemon.Stdout, daemon.Stderr = log, log
			if err := daemon.Start(); err != nil {
				t.Fatal(err)
			}
			_ = log.Close()
			first, err := bufio.NewReader(lines).ReadString('\n')
			_ = lines.Close()
			if err != nil || !strings.Contains(first, "event=") {
				t.Errorf("first line %q, error %v, want a line of the daemon's log", first, err)
			}
			if err := daemon.Process.Signal(syscall.SIGTERM); err != nil { // it logs its shutdown
				t.Fatal(err)
			}
			_ = daemon.Wait() // the state tells how it ended
			if s := daemon.ProcessState; s.ExitCode() != 0 {
				t.Errorf("the process ended with %q, want exit status 0", s)
			}
		})
	}
}
