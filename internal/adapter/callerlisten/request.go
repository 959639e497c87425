package callerlisten

import (
	"context"
	"errors"
	"io"
	"net"
)

const (
	// bodyStep is the first size of a body's buffer, which doubles as the body arrives.
	bodyStep = 16 << 10
	// bodyCost is the memory of a body in multiples of its buffer: the buffer, its
	// previous one while it grows, what is decoded from it, and the record made of that.
	bodyCost = 6
	// chunkedStep is how much of a chunked body is read at once; readAhead is how much
	// more may be read with it into buffers, for the sizes of chunks.
	chunkedStep = 4096
	readAhead   = 8192
)

// ErrBodySize means that a body is larger than its limit.
var ErrBodySize = errors.New("body is too large")

// Request is the request that a connection is being read for. A nil Request has no
// limits of memory.
type Request struct {
	conn     *conn
	complete bool
}

type requestKey struct{}

// Context returns the context for the handlers of a connection that a Listener has
// accepted.
func Context(accepted net.Conn) context.Context {
	c, _ := accepted.(*conn)
	if c == nil || c.listener.guard == nil {
		return context.Background()
	}
	return context.WithValue(context.Background(), requestKey{}, &Request{conn: c})
}

// Begin returns the request that a handler is called for with the context, or nil if the
// connection has no guard.
func Begin(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	if r != nil {
		r.complete = false
	}
	return r
}

// Complete reports whether ReadBody has returned the whole body.
func (r *Request) Complete() bool { return r == nil || r.complete }

// Accept protects the request from giving way to others. It returns false if it has
// given way already.
func (r *Request) Accept() bool { return r == nil || r.conn.moveTo(stageServed) }

// Refuse makes the rest of the request unreadable; its connection must be closed after
// the answer.
func (r *Request) Refuse() {
	if r != nil {
		r.conn.refused, r.conn.head = true, nil
	}
}

// ReadBody reads a body of at most limit bytes. Its length is negative if it is not
// known. The error is ErrBodySize, ErrNoRoom or that of a read.
func (r *Request) ReadBody(body io.Reader, length, limit int) ([]byte, error) {
	if length > limit {
		r.count(reasonBodySize)
		return nil, ErrBodySize
	}
	most := length
	if length < 0 {
		most = limit + 1
	}
	var buffer []byte
	for len(buffer) < most {
		if len(buffer) == cap(buffer) {
			size := min(max(bodyStep, 2*cap(buffer)), most)
			if !r.reserveBody(size) {
				return nil, ErrNoRoom
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		part := buffer[len(buffer):cap(buffer)]
		if length < 0 {
			part = part[:min(len(part), chunkedStep)]
		}
		n, err := r.read(body, part)
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) && (length < 0 || len(buffer) == length) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if len(buffer) > limit {
		r.count(reasonBodySize)
		return nil, ErrBodySize
	}
	if r != nil {
		r.complete = true
	}
	return buffer, nil
}

func (r *Request) read(body io.Reader, part []byte) (int, error) {
	if r != nil {
		r.conn.allowance = len(part) + readAhead
	}
	return body.Read(part)
}

// reserveBody reserves memory for a body's buffer of the given size.
func (r *Request) reserveBody(size int) bool {
	if r == nil || size <= firstRead {
		return true
	}
	return r.conn.listener.guard.reserve(r.conn, max(0, int64(size)*bodyCost-r.conn.reserved.Load()))
}

func (r *Request) count(why reason) {
	if r != nil {
		r.conn.listener.count(why)
	}
}
