package peer

import (
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writes records each write below a muxConn.
type writes struct {
	net.Conn
	bytes []byte
	err   error
}

func (w *writes) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	w.bytes = append(w.bytes, p...)
	return len(p), nil
}

// TestOnlyHeadersOfDataAreHeldBack guards the frames without a body, such as
// pings and window updates: held back, they would wait for the next data and
// the session would end as dead.
func TestOnlyHeadersOfDataAreHeldBack(t *testing.T) {
	const ping, windowUpdate = 2, 1
	low := &writes{}
	conn := newMuxConn(low, newCounters(metrics.NewSet()))
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
		assert.Len(t, low.bytes, sent, "sent at once")
	}
	header := []byte{0, muxTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 12}
	body := []byte{0, muxTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 12} // looks like a header
	_, err := conn.Write(header)
	require.NoError(t, err)
	assert.Len(t, low.bytes, sent)
	n, err := conn.Write(body)
	require.NoError(t, err)
	assert.Equal(t, len(body), n)
	assert.Equal(t, append(header, body...), low.bytes[sent:])
	assert.EqualValues(t, len(low.bytes), conn.counters.bytesSent.Get())

	low.err = net.ErrClosed
	_, err = conn.Write(header)
	require.NoError(t, err, "not written yet")
	_, err = conn.Write(body)
	assert.ErrorIs(t, err, net.ErrClosed)
}
