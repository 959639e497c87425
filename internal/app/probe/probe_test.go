package probe

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAddressInUseIsReportedBeforeServing(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	logger, _ := test.NewNullLogger()
	_, err = New(taken.Addr().String(), func() bool { return true }, logger)
	assert.Error(t, err)
}

func TestReadinessFollowsTheProcess(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, free.Close())
	logger, _ := test.NewNullLogger()
	server, err := New(free.Addr().String(), func() bool { return false }, logger)
	require.NoError(t, err)
	go func() { _ = server.Run() }()
	var status int
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + free.Addr().String() + "/readyz")
		if err != nil {
			return false
		}
		status = response.StatusCode
		return response.Body.Close() == nil
	}, 10*time.Second, 10*time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, status)
}
