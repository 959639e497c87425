// Package makefile tests what the targets of the Makefile would run.
package makefile

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A cache that checkouts share gives findings with the paths of another checkout,
// whose nolint comments cannot be read once it is removed.
func TestEachCheckoutHasItsOwnLintCache(t *testing.T) {
	makefile, err := os.ReadFile("../../Makefile")
	require.NoError(t, err)
	first, second := t.TempDir(), t.TempDir()
	for _, dir := range []string{first, second} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, "Makefile"), makefile, 0o600))
	}
	t.Setenv("GOLANGCI_LINT_CACHE", filepath.Join(t.TempDir(), "shared"))
	assert.NotEqual(t, lintCache(t, first), lintCache(t, second))
	assert.Equal(t, lintCache(t, first), lintCache(t, first))
}

// lintCache returns the cache directory with which `make lint` would run the linter
// in dir.
func lintCache(t *testing.T, dir string) string {
	t.Helper()
	cmd := exec.Command("make", "-n", "lint")
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
	found := regexp.MustCompile(`(?m)^GOLANGCI_LINT_CACHE="([^"]+)" \S*golangci-lint run`).FindSubmatch(out)
	require.NotNil(t, found, string(out))
	return string(found[1])
}
