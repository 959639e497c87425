// Package examples holds example settings and workspace templates of two users.
package examples

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Guards against example files that their program rejects, and against upper
// limits above the capacity of the user's cell.
func TestExamplesAreValid(t *testing.T) {
	cases := map[string]struct {
		policy string
		fleet  model.Resources
	}{
		"guild":     {settings.PolicyWaiting, model.Resources{MilliCPU: 50 * 32_000, MemoryMiB: 50 * 128 * 1024, Slots: 50 * 8}},
		"vestfjord": {settings.PolicyShare, model.Resources{MilliCPU: 50 * 16_000, MemoryMiB: 50 * 64 * 1024, Slots: 50 * 8}},
	}
	for user, want := range cases {
		t.Run(user, func(t *testing.T) {
			sched, err := settings.LoadSched(filepath.Join(user, "sched.toml"))
			require.NoError(t, err)
			assert.Equal(t, want.policy, sched.Policy.Name)
			entry, err := settings.LoadEntry(filepath.Join(user, "entry.toml"))
			require.NoError(t, err)
			assert.Equal(t, sched.Address, entry.Sched)
			_, err = settings.LoadCtl(filepath.Join(user, "ctl.toml"))
			require.NoError(t, err)
			templates, err := settings.LoadTemplates(filepath.Join(user, "templates.toml"))
			require.NoError(t, err)
			assert.Len(t, templates, 6)
			for _, template := range templates {
				assert.True(t, template.UpperLimit.Fits(want.fleet), template.Team)
			}
		})
	}
}
