package peerlink

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// Handler processes a message from a peer and returns the reply, or nil for none.
type Handler func(ctx context.Context, m *Message) *Message

const (
	protocol               = "auburnnotch/1"
	maxMessageBytes        = 16 << 20
	idleTimeout            = 30 * time.Second
	exchangeTimeout        = 600 * time.Millisecond
	maxConcurrentExchanges = 256
)

// Link exchanges messages with peers. It keeps one outgoing connection for each
// peer address. It implements supervisor.Service.
type Link struct {
	clk       clock.Clock
	tls       *tls.Config
	quic      *quic.Config
	transport *quic.Transport
	mu        sync.Mutex
	conns     map[string]*quic.Conn
	handler   Handler
}

// New opens a Link on the UDP address addr. It connects only to peers with the same
// secret.
func New(addr, secret string, clk clock.Clock) (*Link, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "resolve peerListen address %q", addr)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers on %q", addr)
	}
	cfg, err := newTLSConfig(secret)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Link{
		clk: clk, tls: cfg, transport: &quic.Transport{Conn: conn}, conns: map[string]*quic.Conn{},
		quic: &quic.Config{
			MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: exchangeTimeout, MaxIncomingStreams: maxConcurrentExchanges,
			InitialStreamReceiveWindow: 16 << 10, InitialConnectionReceiveWindow: 32 << 10,
		},
	}, nil
}

// newTLSConfig returns a TLS configuration with a key pair derived from secret. All
// nodes of a deployment share this key pair, and the configuration accepts only
// certificates with the same public key.
func newTLSConfig(secret string) (*tls.Config, error) {
	seed := sha256.Sum256([]byte("peer\x00" + secret))
	key := ed25519.NewKeyFromSeed(seed[:])
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: protocol},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
	}
	der, err := x509.CreateCertificate(nil, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	verify := func(raw [][]byte, _ [][]*x509.Certificate) error {
		cert, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return errors.Trace(err)
		}
		pub, ok := cert.PublicKey.(ed25519.PublicKey)
		if !ok || subtle.ConstantTimeCompare(pub, key.Public().(ed25519.PublicKey)) != 1 {
			return errors.Unauthorizedf("peer key is not derived from the shared secret")
		}
		return nil
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert, InsecureSkipVerify: true, VerifyPeerCertificate: verify,
		NextProtos: []string{protocol}, MinVersion: tls.VersionTLS13,
	}, nil
}

// Name implements supervisor.Service.
func (l *Link) Name() string { return "peerlink" }

// Addr returns the local UDP address.
func (l *Link) Addr() string { return l.transport.Conn.LocalAddr().String() }

// SetHandler sets the handler for incoming messages. It must be called before Run.
func (l *Link) SetHandler(h Handler) { l.handler = h }

// Run accepts connections from peers until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	defer l.transport.Close()
	ln, err := l.transport.Listen(l.tls, l.quic)
	if err != nil {
		return errors.Trace(err)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		for {
			conn, err := ln.Accept(ctx)
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return errors.Trace(err)
			}
			g.Go(func() error { return l.serveConn(ctx, g, conn) })
		}
	})
	return g.Wait()
}

func (l *Link) serveConn(ctx context.Context, g *errgroup.Group, conn *quic.Conn) error {
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return nil // the connection is closed or ctx has ended
		}
		g.Go(func() error {
			l.serveStream(ctx, s)
			return nil
		})
	}
}

func (l *Link) serveStream(ctx context.Context, s *quic.Stream) {
	defer s.Close()
	_ = s.SetDeadline(l.clk.Now().Add(10 * exchangeTimeout))
	in, err := readMessage(s)
	if err != nil {
		s.CancelRead(0)
		return
	}
	if out := l.handler(ctx, in); out != nil {
		_ = writeMessage(s, out)
	}
}

func readMessage(r io.Reader) (*Message, error) {
	var m Message
	err := msgpack.NewDecoder(io.LimitReader(r, maxMessageBytes)).Decode(&m)
	return &m, err
}

func writeMessage(w io.Writer, m *Message) error {
	data, err := msgpack.Marshal(m)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = w.Write(data)
	return err
}

// Exchange sends m to the peer at addr and returns the reply. If none arrives in
// time, the connection is dropped, since it may never deliver anything again.
func (l *Link) Exchange(ctx context.Context, addr string, m *Message) (*Message, error) {
	return l.ExchangeWithin(ctx, addr, m, exchangeTimeout)
}

// ExchangeWithin is like Exchange, but with the given timeout.
func (l *Link) ExchangeWithin(ctx context.Context, addr string, m *Message, timeout time.Duration) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := l.conn(ctx, addr)
	if err != nil {
		return nil, errors.Annotatef(err, "connect to peer %s", addr)
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		l.drop(addr, conn)
		return nil, errors.Annotatef(err, "open stream to peer %s", addr)
	}
	_ = s.SetDeadline(l.clk.Now().Add(timeout))
	if err = writeMessage(s, m); err == nil {
		_ = s.Close()
		var out *Message
		if out, err = readMessage(s); err == nil {
			return out, nil
		}
	}
	s.CancelRead(0)
	l.drop(addr, conn)
	return nil, errors.Annotatef(err, "exchange with peer %s", addr)
}

func (l *Link) conn(ctx context.Context, addr string) (*quic.Conn, error) {
	l.mu.Lock()
	c, ok := l.conns[addr]
	l.mu.Unlock()
	if ok && c.Context().Err() == nil {
		return c, nil
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c, err = l.transport.Dial(ctx, udp, l.tls, l.quic)
	if err != nil {
		return nil, errors.Trace(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[addr] = c
	return c, nil
}

func (l *Link) drop(addr string, c *quic.Conn) {
	l.mu.Lock()
	if l.conns[addr] == c {
		delete(l.conns, addr)
	}
	l.mu.Unlock()
	_ = c.CloseWithError(0, "no answer")
}
