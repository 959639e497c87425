package model

// Resources is an amount of everything a VM offers or a task takes.
type Resources struct {
	MilliCPU     int64 // thousandths of a processor
	MemoryMiB    int64
	Accelerators int64
	Slots        int64 // concurrent quick requests on a runner
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
	}
}

// Sub returns r minus o; a dimension may become negative.
func (r Resources) Sub(o Resources) Resources {
	return r.Add(o.Scale(-1))
}

// Scale returns r times n.
func (r Resources) Scale(n int64) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU * n,
		MemoryMiB:    r.MemoryMiB * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
	}
}

// Max returns the larger value of each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		MemoryMiB:    max(r.MemoryMiB, o.MemoryMiB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
	}
}

// Min returns the smaller value of each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		MilliCPU:     min(r.MilliCPU, o.MilliCPU),
		MemoryMiB:    min(r.MemoryMiB, o.MemoryMiB),
		Accelerators: min(r.Accelerators, o.Accelerators),
		Slots:        min(r.Slots, o.Slots),
	}
}

// Fits reports whether no dimension of r exceeds that of capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU &&
		r.MemoryMiB <= capacity.MemoryMiB &&
		r.Accelerators <= capacity.Accelerators &&
		r.Slots <= capacity.Slots
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// IsNegative reports whether any dimension is below zero.
func (r Resources) IsNegative() bool {
	return r.MilliCPU < 0 || r.MemoryMiB < 0 || r.Accelerators < 0 || r.Slots < 0
}

// DominantShare returns the largest fraction that r takes of any dimension of
// total. Dimensions that total does not offer are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, d := range [...]struct{ used, all int64 }{
		{r.MilliCPU, total.MilliCPU},
		{r.MemoryMiB, total.MemoryMiB},
		{r.Accelerators, total.Accelerators},
		{r.Slots, total.Slots},
	} {
		if d.all > 0 {
			share = max(share, float64(d.used)/float64(d.all))
		}
	}
	return share
}

// Fraction returns part of whole, or 0 of a dimension that is not offered.
func Fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
