package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/standin/operator"
)

const (
	loopback = "127.0.0.1"
	// heartbeatInterval is heartbeat-ms of the settings in DEPLOY.md.
	heartbeatInterval = 1200 * time.Millisecond
	// contactTime is contact-ms: a machine is in touch so long after its start.
	contactTime  = 3 * time.Second
	readyTimeout = 20 * time.Second
	exitTimeout  = 10 * time.Second
)

// settings are the settings of a node, with the names of deploy/entry.json.tmpl and the
// figures of a small deployment.
type settings struct {
	Name               string  `json:"name"`
	DataCentre         string  `json:"dataCentre"`
	Region             string  `json:"region"`
	CallerListen       string  `json:"callerListen"`
	ReadyListen        string  `json:"readyListen"`
	DirectoryListen    string  `json:"directoryListen"`
	MetricsListen      string  `json:"metricsListen"`
	PeerListen         string  `json:"peerListen"`
	Store              string  `json:"store"`
	LearnEngineSpeeds  bool    `json:"learnEngineSpeeds"`
	ProcessorShare     float64 `json:"processorShare"`
	MemoryMB           float64 `json:"memoryMB"`
	RevokeMS           float64 `json:"revokeMS"`
	RetryRatio         float64 `json:"retryRatio"`
	RetryWindowSeconds float64 `json:"retryWindowSeconds"`
	RetryAllowance     float64 `json:"retryAllowance"`
	GraceSeconds       float64 `json:"graceSeconds"`
	OrderGapMS         float64 `json:"orderGapMS"`
	WeightsMS          float64 `json:"weightsMS"`
	EntrySeconds       float64 `json:"entrySeconds"`
}

// node is an entry node in a process of its own.
type node struct {
	settings settings
	file     string
	log      string
	cmd      *exec.Cmd
	exited   chan struct{} // closed when the process has ended
}

// fleet is a small deployment: the store, nodes and servers.
type fleet struct {
	rec   *record
	dir   string
	store *metastore.Store
	op    *operator.Operator
	nodes []*node

	mu      sync.Mutex
	closers []func()
	servers []*traffic.Upstream
	ends    map[string]func() // end servers, by ID
	beats   int
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	st := metastore.New(systemclock.New())
	f := &fleet{rec: rec, dir: dir, store: st, op: operator.New(st), ends: map[string]func(){}}
	go f.stopOnSignal()
	return f, nil
}

// stopOnSignal ends what the fleet has started if this program is told to end.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-signals
	f.stop()
	os.Exit(couldNot)
}

// stop ends all processes and listeners that the fleet has started.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.closers {
		c()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) onStop(c func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, c)
}

// serve serves a handler at a free port and returns its address.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		return "", errors.Trace(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	f.onStop(func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// Ports of nodes are below those that systems give to outgoing connections, so that a node
// finds its ports free when it starts again.
const (
	firstPort = 12000
	ports     = 16000
	portTries = 200
)

// freeAddress returns an address with a port that is free for TCP and UDP.
func freeAddress() (string, error) {
	for range portTries {
		address := net.JoinHostPort(loopback, strconv.Itoa(firstPort+rand.IntN(ports)))
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func isFree(address string) bool {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer l.Close()
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// addNode adds a node that isn't started yet. store is the address at which it reaches the
// platform's store.
func (f *fleet) addNode(zone, store string) (*node, error) {
	name := "edge-" + zone + "-" + strconv.Itoa(len(f.nodes)+1)
	n := &node{
		file: filepath.Join(f.dir, name+".json"), log: filepath.Join(f.dir, name+".log"),
		settings: settings{
			Name: name, DataCentre: zone, Region: "lagos-east", Store: store, LearnEngineSpeeds: true, ProcessorShare: 0.4, MemoryMB: 134,
			RevokeMS: 5000, RetryRatio: 0.2, RetryWindowSeconds: 10, RetryAllowance: 58, GraceSeconds: 8, OrderGapMS: 3000, WeightsMS: 12000, EntrySeconds: 5,
		},
	}
	s := &n.settings
	for _, address := range []*string{&s.CallerListen, &s.ReadyListen, &s.DirectoryListen, &s.MetricsListen, &s.PeerListen} {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = a
	}
	b, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.WriteFile(n.file, b, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	f.nodes = append(f.nodes, n)
	return n, nil
}

// addNodes adds nodes in the zones by turns, and starts them.
func (f *fleet) addNodes(count int) error {
	zones := []string{"zone-aba", "zone-ikeja", "zone-onitsha", "zone-enugu"}
	for i := range count {
		zone := zones[i%len(zones)]
		store, err := f.serve(f.store.Handler("edge-" + zone + "-" + strconv.Itoa(i+1)))
		if err != nil {
			return err
		}
		n, err := f.addNode(zone, store)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if !n.awaitReady(readyTimeout) {
			return errors.Errorf("node %s doesn't become ready", n.settings.Name)
		}
	}
	time.Sleep(contactTime) // the start of a machine is no excuse afterwards
	return nil
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer out.Close()
	cmd := exec.Command("target/auburnnotch", "serve-platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AUBURNNOTCH_BOOT=" + n.file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.cmd, n.exited = cmd, exited
	return nil
}

func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	select {
	case <-n.exited:
	case <-time.After(exitTimeout):
	}
}

func (n *node) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if client.Ready(n.settings.ReadyListen, time.Second) {
			return true
		}
	}
	return false
}

// register registers a server, and writes its heartbeats from then on.
func (f *fleet) register(u *traffic.Upstream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, u)
	f.beats++
	return f.op.Register(u, f.beats)
}

// heartbeats writes the registrations of all servers again, until done is closed.
func (f *fleet) heartbeats(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
		f.mu.Lock()
		f.beats++
		for _, u := range f.servers {
			_ = f.op.Register(u, f.beats)
		}
		f.mu.Unlock()
	}
}
