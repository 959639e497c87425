package settings

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/findings"
)

// checkFindings checks that an error, if any, is a non-empty list of findings.
func checkFindings(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		return
	}
	var list findings.List
	require.True(t, errors.As(err, &list))
	assert.NotEmpty(t, list)
}

func FuzzParseTemplates(f *testing.F) {
	f.Add([]byte("[[template]]\nteam = \"a\"\nkinds = [\"quick\"]"))
	f.Add([]byte("[[a.b]]\n[a.b.c]\nd.e = [{f = 1}, [{g = 2}]]"))
	f.Add([]byte("template = [1, {team = 3}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		templates, err := ParseTemplates("fuzz.toml", data)
		checkFindings(t, err)
		assert.Equal(t, err == nil, len(templates) > 0)
	})
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte("address = \":1\"\n[lease]\nrenew = \"-1s\"\n[limits]\nmax_message = \"1e99TiB\""))
	f.Add([]byte("platform = 1\nlog = {level = 3}\n[config]\nfresh_for = 1979-05-27"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, target := range []any{new(Sched), new(Entry), new(Ctl)} {
			d, err := parseDocument("fuzz.toml", data)
			if err != nil {
				checkFindings(t, err)
				return
			}
			d.bind(target)
			checkFindings(t, d.found.Err())
		}
	})
}
