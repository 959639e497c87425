package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

func TestRefusalOfAnEarlierDialIsToldFromOneOfNow(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	client := New(Options{DialTimeout: 200 * time.Millisecond})
	defer func() { _ = client.Close() }()
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, address, &peerpb.Request{})
		return err
	}
	fresh := call()
	require.ErrorIs(t, fresh, syscall.ECONNREFUSED)
	assert.False(t, RedialPending.Has(fresh))
	repeated := call()
	require.ErrorIs(t, repeated, syscall.ECONNREFUSED)
	assert.True(t, RedialPending.Has(repeated))
}
