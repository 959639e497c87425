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

func TestGroupCloseKillsChildProcesses(t *testing.T) {
	g := NewGroup(t.TempDir())
	// The shell's child would outlive it if only the shell were killed.
	p, err := g.Start("shell", "/bin/sh", "-c", "sleep 600 & echo $!; wait")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(p.Output()) > 0 }, time.Minute, time.Millisecond)
	pgid := p.Pid()
	g.Close()
	require.Error(t, p.ExitError())
	require.Eventually(t, func() bool {
		return syscall.Kill(-pgid, 0) == syscall.ESRCH
	}, time.Minute, time.Millisecond)
}

func TestPausedProcessResumes(t *testing.T) {
	g := NewGroup(t.TempDir())
	defer g.Close()
	p, err := g.Start("shell", "/bin/sh", "-c", "trap 'echo bye; exit 3' TERM; echo up; while :; do sleep 0.01; done")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return string(p.Output()) == "up\n" }, time.Minute, time.Millisecond)
	p.Pause()
	p.Terminate()
	select {
	case <-p.Exited():
		t.Fatal("a paused process handled a signal")
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
	near, err := net.Dial("tcp", relay.Address())
	require.NoError(t, err)
	far, err := server.Accept()
	require.NoError(t, err)

	relay.Set(CutForward)
	write(t, near, "a")
	assert.False(t, arrives(t, far, 300*time.Millisecond), "the way forward is cut")
	write(t, far, "b")
	assert.True(t, arrives(t, near, time.Minute), "the way back is open")
	relay.Set(CutNone)
	assert.True(t, arrives(t, far, time.Minute), "held bytes are delivered")
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
