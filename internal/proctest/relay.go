package proctest

import (
	"net"
	"sync"
)

// Cut is the direction in which a relay passes no bytes. Connections stay open,
// as they do when a network drops packets.
type Cut int

// The cuts of a relay.
const (
	CutNone     Cut = iota
	CutForward      // from the client to the server
	CutBackward     // from the server to the client
	CutBoth
)

// Relay forwards TCP connections to an address and can hold their bytes back in
// one or both directions. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cond   *sync.Cond
	cut    Cut
	closed bool
	conns  map[net.Conn]struct{}
}

// NewRelay starts a relay that listens on a free loopback port and forwards
// connections to target, a host:port.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &Relay{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	r.cond = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns the host:port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the cut for all existing and later connections. Bytes held back
// by a cut are delivered once it is lifted.
func (r *Relay) Set(cut Cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.cond.Broadcast()
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.cond.Broadcast()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	if !r.add(client, server) {
		return
	}
	go r.forward(server, client, CutForward)
	r.forward(client, server, CutBackward)
}

// add registers connections for Close. If the relay is closed already, it closes
// them and returns false.
func (r *Relay) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		if r.closed {
			_ = conn.Close()
			continue
		}
		r.conns[conn] = struct{}{}
	}
	return !r.closed
}

func (r *Relay) remove(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(r.conns, conn)
	}
}

// forward copies bytes in one direction until either connection ends, then closes
// both.
func (r *Relay) forward(to, from net.Conn, direction Cut) {
	defer r.remove(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !r.waitOpen(direction) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitOpen blocks while the direction is cut. It returns false once the relay is
// closed.
func (r *Relay) waitOpen(direction Cut) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && (r.cut == direction || r.cut == CutBoth) {
		r.cond.Wait()
	}
	return !r.closed
}
