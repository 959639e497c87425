package settings

import (
	"math"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Size is an amount of memory in bytes. In TOML it is a string with a unit:
// "512B", "64KiB", "1.5GiB".
type Size int64

// The units of Size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
	TiB       = 1024 * GiB
)

var sizeUnits = []struct {
	suffix string
	bytes  Size
}{
	{"TiB", TiB}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte},
}

// ParseSize parses a non-negative number followed by B, KiB, MiB, GiB or TiB.
func ParseSize(s string) (Size, error) {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(s, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		bytes := n * float64(unit.bytes)
		if err != nil || !(bytes >= 0 && bytes < math.MaxInt64) {
			break
		}
		return Size(bytes), nil
	}
	return 0, errs.New("%q is not a size with a unit: B, KiB, MiB, GiB or TiB", s)
}

// String formats the size in the largest unit that divides it evenly.
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if s >= unit.bytes && s%unit.bytes == 0 {
			return strconv.FormatInt(int64(s/unit.bytes), 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// MarshalText formats the size as in TOML.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
