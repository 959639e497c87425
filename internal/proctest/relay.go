package proctest

import (
	"net"
	"sync"
)

// Cut says which way a relay drops bytes. Connections stay open, as they do
// when a network drops packets.
type Cut int

// The cuts of a relay.
const (
	CutNone     Cut = iota
	CutForward      // from the client to the server
	CutBackward     // from the server to the client
	CutBoth
)

// Relay passes TCP connections on to an address until it is told to cut. It
// is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cond  *sync.Cond
	cut   Cut
	ended bool
	conns map[net.Conn]struct{}
}

// NewRelay listens on a free loopback port and passes connections to target.
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

// Address returns the host:port to connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the cut for all present and later connections. Bytes held back
// by a cut are delivered when it ends.
func (r *Relay) Set(cut Cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.cond.Broadcast()
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
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
	go r.copy(server, client, CutForward)
	r.copy(client, server, CutBackward)
}

func (r *Relay) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		if r.ended {
			_ = conn.Close()
			continue
		}
		r.conns[conn] = struct{}{}
	}
	return !r.ended
}

func (r *Relay) remove(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(r.conns, conn)
	}
}

// copy passes bytes one way; it ends both connections when either ends.
func (r *Relay) copy(to, from net.Conn, way Cut) {
	defer r.remove(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !r.waitOpen(way) {
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

// waitOpen blocks while the way is cut; false means that the relay ended.
func (r *Relay) waitOpen(way Cut) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.ended && (r.cut == way || r.cut == CutBoth) {
		r.cond.Wait()
	}
	return !r.ended
}
