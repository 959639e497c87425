package callerlisten

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// stage is how far a connection's current request has come. A lower one gives way first.
type stage int32

const (
	stageNew     stage = iota // accepted, without a byte
	stageIdle                 // answered, without a byte of the next request
	stageHead                 // the head is incomplete
	stageBody                 // the head is complete, the request is not accepted
	stageServed               // the request is accepted and must be answered
	stageEvicted              // closed by the guard
)

const (
	// firstRead is what a connection may hold of a head without a reservation. hertz
	// reads as much at once.
	firstRead = 4096
	// bodyAllowance is how much may be read after a head before Request.Read: hertz
	// reads up to 8 KiB of a body ahead.
	bodyAllowance = 12 << 10
)

// Answers to requests that are refused before they reach the HTTP server.
const (
	answerHeaderSize = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerNoRoom     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

var interimAnswer = []byte("HTTP/1.1 100")

// conn is one caller's connection. A request begins with the first byte
// that is read after an answer.
type conn struct {
	net.Conn
	listener     *Listener
	address      string       // remote address without the port
	requestStart atomic.Int64 // monotonic time in ns of the request's first byte, or 0
	idleSince    atomic.Int64 // monotonic time in ns of the accept or the last answer
	writeStart   atomic.Int64 // monotonic time in ns of the write in progress, or 0
	answering    atomic.Bool  // at least part of the answer has been written
	progress     atomic.Int32 // stage
	bodyBytes    atomic.Int64 // read of the body
	reserved     atomic.Int64 // bytes of the budget
	once         sync.Once

	// Only the goroutine that serves the connection uses the fields below.
	head      []byte // bytes that are read and not yet handed over
	last      [2]byte
	allowance int  // bytes that may still be read of the body
	refused   bool // nothing more is read
}

func (c *conn) stage() stage { return stage(c.progress.Load()) }

func (c *conn) idle() bool {
	return c.requestStart.Load() == 0 && since(c.idleSince.Load()) > c.listener.IdleGrace
}

// moveTo changes the stage. It returns false if the connection has been evicted.
func (c *conn) moveTo(next stage) bool {
	for {
		current := c.progress.Load()
		if stage(current) == stageEvicted {
			return false
		}
		if c.progress.CompareAndSwap(current, int32(next)) {
			return true
		}
	}
}

// setEvicted marks the connection as closed by the guard, unless its request has been
// accepted.
func (c *conn) setEvicted() bool {
	for {
		current := c.progress.Load()
		if s := stage(current); s == stageEvicted || s == stageServed && c.writeStart.Load() == 0 {
			return false
		}
		if c.progress.CompareAndSwap(current, int32(stageEvicted)) {
			return true
		}
	}
}

// evict closes the connection unless its request has been accepted.
func (c *conn) evict(r reason) {
	if c.setEvicted() {
		c.listener.count(r)
		c.listener.remove(c)
		_ = c.Conn.Close()
	}
}

// Read implements net.Conn. It fails once the current request has been arriving
// for longer than the listener's read timeout. With a guard it returns a head only when
// that has arrived completely, so that the HTTP server holds no part of one.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, io.EOF
	}
	start := c.requestStart.Load()
	if c.answering.Swap(false) {
		start = 0 // the answer was sent; this read waits for the next request
		c.requestStart.Store(0)
		c.release()
		c.moveTo(stageIdle)
	}
	if limit := c.listener.ReadTimeout; start != 0 && limit > 0 && since(start) > limit {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	switch {
	case c.listener.guard == nil:
		return c.receive(p)
	case len(c.head) > 0:
		return c.handOver(p), nil
	case c.stage() < stageBody:
		return c.readHead(p)
	}
	if c.allowance <= 0 {
		return 0, io.EOF
	}
	n, err := c.receive(p[:min(len(p), c.allowance)])
	c.allowance -= n
	c.bodyBytes.Add(int64(n))
	c.keepLast(p[:n])
	return n, err
}

// receive reads from the caller.
func (c *conn) receive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.requestStart.Load() == 0 {
		c.requestStart.Store(monotonic())
	}
	return n, err
}

// readHead reads until a head is complete. The HTTP server may hold the beginning of the
// head already if it was sent together with the previous request.
func (c *conn) readHead(p []byte) (int, error) {
	n, err := c.receive(p[:min(len(p), firstRead)])
	if n == 0 {
		return 0, err
	}
	if end := c.endOfHead(p[:n]); end >= 0 {
		return c.headComplete(p[:n], end)
	}
	if err != nil || !c.moveTo(stageHead) {
		return 0, orClosed(err)
	}
	if !c.grow(2 * firstRead) {
		return 0, c.refuse(answerNoRoom)
	}
	c.head = append(make([]byte, 0, 2*firstRead), p[:n]...)
	limit := c.listener.limits().HeaderBytes
	for {
		if limit > 0 && len(c.head) > limit {
			c.listener.count(reasonHeaderSize)
			return 0, c.refuse(answerHeaderSize)
		}
		if size := cap(c.head); len(c.head) == size {
			if !c.grow(2 * size) {
				return 0, c.refuse(answerNoRoom)
			}
			c.head = append(make([]byte, 0, 2*size), c.head...)
		}
		from := len(c.head)
		n, err := c.receive(c.head[from:cap(c.head)])
		c.head = c.head[:from+n]
		searchFrom := max(0, from-len(c.last))
		if end := endOfHead(c.head[searchFrom:]); end >= 0 {
			if _, err := c.headComplete(c.head, searchFrom+end); err != nil {
				return 0, err
			}
			return c.handOver(p), nil
		}
		if err != nil {
			return 0, err
		}
	}
}

func orClosed(err error) error {
	if err == nil {
		return net.ErrClosed
	}
	return err
}

// headComplete checks the head that ends at end, an index into data, and returns the
// length of data.
func (c *conn) headComplete(data []byte, end int) (int, error) {
	limits := c.listener.limits()
	tooLong := limits.HeaderBytes > 0 && end > limits.HeaderBytes
	if tooLong || limits.HeaderFields > 0 && bytes.Count(data[:end], []byte{'\n'}) > limits.HeaderFields+2 {
		c.listener.count(reasonHeaderSize)
		return 0, c.refuse(answerHeaderSize)
	}
	if !c.moveTo(stageBody) {
		return 0, net.ErrClosed
	}
	c.bodyBytes.Store(int64(len(data) - end))
	c.allowance = bodyAllowance
	c.keepLast(data)
	return len(data), nil
}

// endOfHead returns the index after the first empty line, whose beginning may have been
// handed over before, or -1.
func (c *conn) endOfHead(data []byte) int {
	if c.last[1] == '\n' && bytes.HasPrefix(data, []byte("\r\n")) || string(c.last[:]) == "\n\r" && data[0] == '\n' {
		return bytes.IndexByte(data, '\n') + 1
	}
	return endOfHead(data)
}

func endOfHead(data []byte) int {
	if i := bytes.Index(data, []byte("\n\r\n")); i >= 0 {
		return i + 3
	}
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return -1
}

// keepLast keeps the end of what the HTTP server gets.
func (c *conn) keepLast(data []byte) {
	if n := len(data); n >= len(c.last) {
		copy(c.last[:], data[n-len(c.last):])
	} else if n == 1 {
		c.last[0], c.last[1] = c.last[1], data[0]
	}
}

// handOver passes bytes that have been read before.
func (c *conn) handOver(p []byte) int {
	n := copy(p, c.head)
	if c.head = c.head[n:]; len(c.head) == 0 {
		c.head = nil
	}
	return n
}

// grow reserves memory for a head that takes size bytes. The HTTP server copies a head
// of several reads once for each of them.
func (c *conn) grow(size int) bool {
	need := int64(size) * int64(2+size/firstRead)
	return c.listener.guard.reserve(c, need-c.reserved.Load())
}

// refuse answers a request that the HTTP server has not seen, and ends the connection.
func (c *conn) refuse(answer string) error {
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = c.Write([]byte(answer))
	c.refused, c.head = true, nil
	return io.EOF
}

// release gives the request's memory back to the budget.
func (c *conn) release() {
	if n := c.reserved.Swap(0); n != 0 {
		c.listener.guard.budget.Release(n)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	started := monotonic()
	c.writeStart.Store(started)
	n, err := c.Conn.Write(p)
	c.writeStart.Store(0)
	if bytes.HasPrefix(p, interimAnswer) {
		return n, err
	}
	c.idleSince.Store(monotonic())
	c.answering.Store(true)
	return n, err
}

// Close implements net.Conn. After an answer it discards for a short time what
// the caller still sends: closing immediately would reset the connection, and the
// caller could lose the answer.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		c.release()
		c.listener.remove(c)
		tcp, ok := c.Conn.(*net.TCPConn)
		if !ok || !c.answering.Load() || tcp.CloseWrite() != nil || !c.listener.beginLinger() {
			err = c.Conn.Close()
			return
		}
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
		go func() {
			defer c.listener.endLinger()
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
			_ = tcp.Close()
		}()
	})
	return err
}
