package shed

import (
	"testing"

	"github.com/balsamhitch/balsamhitch/internal/proptest"
)

func TestMain(m *testing.M) {
	proptest.Main(m, proptest.Settings{})
}
