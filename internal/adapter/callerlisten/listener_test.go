package callerlisten

import (
	"net"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// failingListener fails its first accepts.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	server, _ := net.Pipe()
	return server, nil
}

func TestAcceptGoesOnAfterErrorsThatPass(t *testing.T) {
	logger, hook := test.NewNullLogger()
	listener := &Listener{Listener: &failingListener{errors: []error{syscall.EMFILE, syscall.ECONNABORTED}}, Logger: logger}
	conn, err := listener.Accept()
	require.NoError(t, err)
	assert.Len(t, hook.AllEntries(), 1, "one line for a series of errors")
	assert.Equal(t, 1, listener.Open())
	require.NoError(t, conn.Close())
	assert.Zero(t, listener.Open())
	listener = &Listener{Listener: &failingListener{errors: []error{net.ErrClosed}}, Logger: logger}
	_, err = listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
