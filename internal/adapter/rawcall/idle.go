package rawcall

import (
	"container/list"
	"syscall"
)

// idleList holds the idle connections of all hosts, longest idle first.
type idleList struct {
	order    list.List // of *connection
	elements map[*connection]*list.Element
}

// Len returns the number of idle connections.
func (l *idleList) Len() int { return l.order.Len() }

func (l *idleList) add(conn *connection) {
	if l.elements == nil {
		l.elements = map[*connection]*list.Element{}
	}
	l.elements[conn] = l.order.PushBack(conn)
}

func (l *idleList) remove(conn *connection) {
	l.order.Remove(l.elements[conn])
	delete(l.elements, conn)
}

func (l *idleList) oldest() *connection { return l.order.Front().Value.(*connection) }

// silenceProbe tells whether an idle connection is still usable: the host has neither
// closed it nor sent anything.
type silenceProbe struct {
	raw    syscall.RawConn // nil if the connection cannot be probed
	read   func(descriptor uintptr) bool
	silent bool
}

// init prepares the function that check calls, so that check allocates nothing.
func (p *silenceProbe) init() {
	p.read = func(descriptor uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(descriptor), b[:])
		p.silent = err == syscall.EAGAIN
		return true // without waiting for input
	}
}

// check reads without waiting.
func (p *silenceProbe) check() bool {
	if p.raw == nil {
		return false
	}
	p.silent = false
	return p.raw.Read(p.read) == nil && p.silent
}
