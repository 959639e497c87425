package proctest

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestProcessSetCloseKillsChildProcesses(t *testing.T) {
	processes := NewProcessSet(t.TempDir())
	// If only the shell were killed, its child would keep running.
	p, err := processes.Start("shell", "/bin/sh", "-c", "sleep 600 & echo $!; wait")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(p.Output()) > 0 }, time.Minute, time.Millisecond)
	pgid := p.Pid()
	processes.Close()
	require.Error(t, p.ExitError())
	require.Eventually(t, func() bool {
		return syscall.Kill(-pgid, 0) == syscall.ESRCH
	}, time.Minute, time.Millisecond)
}

func TestPausedProcessResumes(t *testing.T) {
	processes := NewProcessSet(t.TempDir())
	defer processes.Close()
	p, err := processes.Start("shell", "/bin/sh", "-c", "trap 'echo bye; exit 3' TERM; echo up; while :; do sleep 0.01; done")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return string(p.Output()) == "up\n" }, time.Minute, time.Millisecond)
	p.Pause()
	p.Terminate()
	select {
	case <-p.Exited():
		t.Fatal("a paused process handled SIGTERM")
	case <-time.After(100 * time.Millisecond):
	}
	p.Resume()
	assert.EqualError(t, p.ExitError(), "exit status 3")
	assert.Equal(t, "bye", p.Tail(1))
}

func TestRelayCutsOneWay(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	relay, err := NewRelay(server.Addr().String())
	require.NoError(t, err)
	defer relay.Close()
	client, err := net.Dial("tcp", relay.Address())
	require.NoError(t, err)
	accepted, err := server.Accept()
	require.NoError(t, err)

	relay.Set(CutForward)
	write(t, client, "a")
	assert.False(t, arrives(t, accepted, 300*time.Millisecond), "a byte passed the cut from client to server")
	write(t, accepted, "b")
	assert.True(t, arrives(t, client, time.Minute), "no byte from server to client, which is not cut")
	relay.Set(CutNone)
	assert.True(t, arrives(t, accepted, time.Minute), "bytes held back by the cut were not delivered")
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func arrives(t *testing.T, conn net.Conn, within time.Duration) bool {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err := conn.Read(make([]byte, 1))
	return err == nil
}
