package peer

import (
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recordingConn records the bytes written by a muxConn.
type recordingConn struct {
	net.Conn
	written []byte
	err     error
}

func (w *recordingConn) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	w.written = append(w.written, p...)
	return len(p), nil
}

// TestOnlyDataHeadersAreHeld guards against delaying frames without a body, such
// as pings and window updates: they would wait for the next data frame, and the
// keep-alive would time out and close the session.
func TestOnlyDataHeadersAreHeld(t *testing.T) {
	const ping, windowUpdate = 2, 1
	lower := &recordingConn{}
	conn := newMuxConn(lower, newCounters(metrics.NewSet()))
	sent := 0
	for _, header := range [][]byte{
		{0, ping, 0, 1, 0, 0, 0, 0, 0, 0, 0, 7},
		{0, windowUpdate, 0, 1, 0, 0, 0, 1, 0, 0, 0, 9},
		{0, muxTypeData, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0}, // ends a stream
	} {
		n, err := conn.Write(header)
		require.NoError(t, err)
		assert.Equal(t, muxHeaderSize, n)
		sent += n
		assert.Len(t, lower.written, sent, "a frame without a body must be written immediately")
	}
	header := []byte{0, muxTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 12}
	body := []byte{0, muxTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 12} // looks like a header
	_, err := conn.Write(header)
	require.NoError(t, err)
	assert.Len(t, lower.written, sent)
	n, err := conn.Write(body)
	require.NoError(t, err)
	assert.Equal(t, len(body), n)
	assert.Equal(t, append(header, body...), lower.written[sent:])
	assert.EqualValues(t, len(lower.written), conn.counters.bytesSent.Get())

	lower.err = net.ErrClosed
	_, err = conn.Write(header)
	require.NoError(t, err, "the header is held, so no write has failed yet")
	_, err = conn.Write(body)
	assert.ErrorIs(t, err, net.ErrClosed)
}
