package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/standin/operator"
)

const (
	// program is what the build of the deploy file produces.
	program = "target/auburnnotch"
	// machineCount is the number of entry VMs of the site adire-flags.
	machineCount = 9
	// zone is the zone of all machines.
	zone         = "zone-aba"
	region       = "lagos-east"
	memoryMB     = 134
	restartDelay = 100 * time.Millisecond
	readyTimeout = 15 * time.Second
	beat         = 1200 * time.Millisecond
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	f       *os.File
	started time.Time
}

func (r *record) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, a...))
}

// machine is an entry VM with one process of the project.
type machine struct {
	name, ip string
	settings string
	fleet    *fleet

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	up     bool // the platform restarts the process when it ends
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
func (m *machine) front() string        { return m.addr(portFront) }
func (m *machine) directory() string    { return m.addr(portDirectory) }

const (
	portFront     = 8782
	portReady     = 8789
	portDirectory = 8780
	portPeer      = 7340
)

// start starts the process as the deploy file says.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "serve-platform")
	cmd.Env = append(os.Environ(), "AUBURNNOTCH_BOOT="+m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.up = cmd, exited, true
	m.fleet.record.printf("platform: process of %s starts", m.name)
	go func() {
		_ = cmd.Wait() // how a killed process ends is known
		close(exited)
	}()
	return nil
}

// kill ends the process, which stays down until start is called.
func (m *machine) kill(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up = false
	if m.cmd == nil {
		return
	}
	m.fleet.record.printf("platform: SIGKILL to the process of %s: %s", m.name, why)
	_ = m.cmd.Process.Signal(syscall.SIGKILL) // fails only if it has ended
	<-m.exited
	m.cmd = nil
}

// fleet is a small deployment.
type fleet struct {
	dir      string
	record   *record
	store    *metastore.Store
	ops      *operator.Operator
	machines []*machine
	// wrap may add disruptions to the store's handler for a machine.
	wrap func(m *machine, h http.Handler) http.Handler
	stop context.CancelFunc
	ctx  context.Context
}

func newFleet(dir string) (*fleet, error) {
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	store := metastore.New(systemclock.New())
	ctx, cancel := context.WithCancel(context.Background())
	return &fleet{
		dir: tmp, record: &record{f: f, started: time.Now()}, store: store, ops: operator.New(store), stop: cancel, ctx: ctx,
		wrap: func(_ *machine, h http.Handler) http.Handler { return h },
	}, nil
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill("end of the case")
	}
	f.stop()
	_ = os.RemoveAll(f.dir)
}

// serve starts a server on a free port of 127.0.0.1.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	context.AfterFunc(f.ctx, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// network returns the first three bytes of loopback addresses whose ports are free. It
// holds a port of the last one, so that another case that runs beside takes others.
func (f *fleet) network(machines int) (string, error) {
	for b := 10; b < 250; b++ {
		reserved, err := net.Listen("tcp4", fmt.Sprintf("127.93.%d.254:%d", b, portFront))
		if err != nil {
			continue
		}
		context.AfterFunc(f.ctx, func() { _ = reserved.Close() })
		free := true
		for i := 1; i <= machines && free; i++ {
			for _, port := range []int{portFront, portReady, portDirectory, portPeer} {
				l, err := net.Listen("tcp4", fmt.Sprintf("127.93.%d.%d:%d", b, i, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return fmt.Sprintf("127.93.%d", b), nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// startMachines starts the entry VMs and waits until all are ready.
func (f *fleet) startMachines() error {
	base, err := f.network(machineCount)
	if err != nil {
		return err
	}
	for i := 1; i <= machineCount; i++ {
		m := &machine{name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("%s.%d", base, i), fleet: f}
		store, err := f.serve(f.wrap(m, f.store.Handler(m.name)))
		if err != nil {
			return err
		}
		// What deploy/entry.json.tmpl makes of the settings of a small deployment.
		b, err := json.Marshal(config.EntrySettings{
			Name: m.name, DataCentre: zone, Region: region, CallerListen: m.addr(portFront), ReadyListen: m.addr(portReady),
			DirectoryListen: m.addr(portDirectory), PeerListen: m.addr(portPeer), Store: store, ProcessorShare: 0.4, MemoryMB: memoryMB,
			RevokeMS: 5000, RetryRatio: 0.2, RetryWindowSeconds: 10, RetryAllowance: 58, GraceSeconds: 8, OrderGapMS: 3000,
			WeightsMS: 12000, EntrySeconds: 5,
		})
		if err != nil {
			return err
		}
		m.settings = filepath.Join(f.dir, m.name+".json")
		if err := os.WriteFile(m.settings, b, 0o600); err != nil {
			return err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// waitReady waits until all machines say that they are ready.
func (f *fleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range f.machines {
		for !client.Ready(m.addr(portReady), time.Second) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	f.record.printf("platform: all %d machines say that they are ready", len(f.machines))
	return nil
}

// register keeps an engine registered until the case ends.
func (f *fleet) register(u *traffic.Upstream) error {
	u.StartedMS = time.Now().UnixMilli()
	if err := f.ops.Register(u, 1); err != nil {
		return err
	}
	go func() {
		for n := 2; f.ctx.Err() == nil; n++ {
			time.Sleep(beat)
			_ = f.ops.Register(u, n) // worked before
		}
	}()
	return nil
}
