package ctl

import (
	"fmt"
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Amount is the printed form of model.Resources.
type Amount struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
	Slots        int64 `json:"slots"`
}

// String returns the non-zero dimensions with their units, or "0".
func (a Amount) String() string {
	if model.Resources(a).IsZero() {
		return "0"
	}
	var parts []string
	if a.MilliCPU != 0 {
		parts = append(parts, formatCPU(a.MilliCPU)+" cpu")
	}
	if a.MemoryMiB != 0 {
		parts = append(parts, fmt.Sprintf("%d MiB", a.MemoryMiB))
	}
	if a.Accelerators != 0 {
		parts = append(parts, fmt.Sprintf("%d acc", a.Accelerators))
	}
	if a.Slots != 0 {
		parts = append(parts, fmt.Sprintf("%d slots", a.Slots))
	}
	return strings.Join(parts, " ")
}
