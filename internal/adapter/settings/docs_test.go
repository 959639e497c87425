package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// required holds the keys without a usable default.
var required = map[string]bool{
	"address": true, "listen": true, "failure_domain": true, "platform.log": true, "platform.vm_list": true,
	"template.team": true, "template.kinds": true, "template.share": true, "template.max_queued": true,
}

// describe adds the keys of a struct and their defaults, formatted as in the docs.
func describe(prefix string, v reflect.Value, into map[string]string) {
	for i := range v.NumField() {
		key := joinKey(prefix, v.Type().Field(i).Tag.Get("toml"))
		field := v.Field(i)
		switch {
		case field.Kind() == reflect.Struct:
			describe(key, field, into)
		case required[key]:
			into[key] = "required"
		default:
			into[key] = "`" + literal(field) + "`"
		}
	}
}

func literal(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case time.Duration:
		text := value.String()
		if strings.HasSuffix(text, "m0s") {
			text = strings.TrimSuffix(text, "0s")
		}
		return fmt.Sprintf("%q", text)
	case Size:
		return fmt.Sprintf("%q", value)
	case string:
		return fmt.Sprintf("%q", value)
	default:
		return fmt.Sprint(value)
	}
}

var row = regexp.MustCompile("^\\| `([a-z_.]+)` \\| (.+?) \\| .+ \\|$")

// documented returns the keys and defaults in one section of the settings page.
func documented(t *testing.T, section string) map[string]string {
	page, err := os.ReadFile("../../../docs/operators/settings.md")
	require.NoError(t, err)
	_, text, ok := strings.Cut(string(page), "\n## "+section+"\n")
	require.True(t, ok, "no section %s", section)
	text, _, _ = strings.Cut(text, "\n## ")
	out := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if m := row.FindStringSubmatch(line); m != nil {
			out[m[1]] = m[2]
		}
	}
	return out
}

func TestEverySettingIsDocumented(t *testing.T) {
	for section, defaults := range map[string]any{
		"balsam-sched": DefaultSched(),
		"balsam-entry": DefaultEntry(),
		"balsamctl":    DefaultCtl(),
		"templates": struct {
			Template Template `toml:"template"`
		}{},
	} {
		want := map[string]string{}
		describe("", reflect.ValueOf(defaults), want)
		assert.Equal(t, want, documented(t, section), section)
	}
}
