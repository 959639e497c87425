package porttest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/port"
)

const stream = "s"

func data(text string) [][]byte { return [][]byte{[]byte(text)} }

func TestReadWaitsForAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewMemLog()
		time.AfterFunc(time.Second, func() { _, _ = log.Append(t.Context(), stream, data("a")) })
		start := time.Now()
		batch, err := log.Read(t.Context(), stream, 0, 10, time.Minute)
		require.NoError(t, err)
		assert.Equal(t, time.Second, time.Since(start))
		assert.Equal(t, []port.Record{{Offset: 0, Data: []byte("a")}}, batch.Records)
		assert.Equal(t, uint64(1), batch.Next)
	})
}

func TestTruncatedOffsetsAreRefused(t *testing.T) {
	log := NewMemLog()
	_, err := log.Append(t.Context(), stream, [][]byte{[]byte("a"), []byte("b")})
	require.NoError(t, err)
	log.Truncate(stream, 1)
	_, err = log.Read(t.Context(), stream, 0, 10, 0)
	assert.True(t, port.LogTruncated.Has(err))
	batch, err := log.Read(t.Context(), stream, 1, 10, 0)
	require.NoError(t, err)
	assert.Equal(t, uint64(1), batch.Earliest)
	assert.Len(t, batch.Records, 1)
}

func TestFaultsLoseAnswersAndLandLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewMemLog()
		client := log.Client(nil)
		client.SetFaults(Faults{LoseAnswers: true})
		_, err := client.Append(t.Context(), stream, data("lost"))
		assert.True(t, Unavailable.Has(err))
		assert.Equal(t, uint64(1), log.Next(stream))
		client.SetFaults(Faults{DeferAppends: time.Minute})
		_, err = client.Append(t.Context(), stream, data("late"))
		assert.True(t, Unavailable.Has(err))
		assert.Equal(t, uint64(1), log.Next(stream))
		time.Sleep(2 * time.Minute)
		assert.Equal(t, uint64(2), log.Next(stream))
	})
}

func TestClosedGateFreezesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gate Gate
		log := NewMemLog()
		client := log.Client(&gate)
		gate.Close()
		time.AfterFunc(time.Second, gate.Open)
		start := time.Now()
		_, err := client.Append(context.Background(), stream, data("a"))
		require.NoError(t, err)
		assert.Equal(t, time.Second, time.Since(start))
	})
}
