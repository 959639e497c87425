package node

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/port"
)

func TestOwnersRefusalsReachTheNodeThatTookTheCall(t *testing.T) {
	carried := func(err error) error { return refusalError(refusalFor(err)) }
	require.NoError(t, carried(nil))

	err := carried(port.NotStarted.Wrap(&port.OverloadedError{RetryAfter: 3 * time.Second}))
	var overloaded *port.OverloadedError
	require.ErrorAs(t, err, &overloaded)
	assert.Equal(t, 3*time.Second, overloaded.RetryAfter)
	assert.True(t, port.NotStarted.Has(err))
	assert.False(t, port.NoOwner.Has(err))

	err = carried(port.NotStarted.Wrap(port.NeverFits.New("too large")))
	assert.True(t, port.NotStarted.Has(err) && port.NeverFits.Has(err))
	err = carried(port.NotStarted.Wrap(port.NoOwner.New("not this node")))
	assert.True(t, port.NotStarted.Has(err) && port.NoOwner.Has(err))
	err = carried(port.NotStarted.New("the log takes no append"))
	assert.True(t, port.NotStarted.Has(err) && !port.NoOwner.Has(err))
	err = carried(errors.New("no answer"))
	assert.False(t, port.NotStarted.Has(err), "the outcome is unknown")
}
