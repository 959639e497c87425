package model

// Resources is an amount of each resource that a VM offers or a task requires.
type Resources struct {
	MilliCPU     int64 // thousandths of a CPU
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

// Max returns the element-wise maximum of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		MemoryMiB:    max(r.MemoryMiB, o.MemoryMiB),
		Accelerators: max(r.Accelerators, o.Accelerators),
		Slots:        max(r.Slots, o.Slots),
	}
}

// Min returns the element-wise minimum of r and o.
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

// DominantShare returns the largest fraction of any dimension of total that r uses.
// It ignores dimensions of which total has nothing.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, d := range [...]struct{ used, available int64 }{
		{r.MilliCPU, total.MilliCPU},
		{r.MemoryMiB, total.MemoryMiB},
		{r.Accelerators, total.Accelerators},
		{r.Slots, total.Slots},
	} {
		if d.available > 0 {
			share = max(share, float64(d.used)/float64(d.available))
		}
	}
	return share
}

// Fraction returns part divided by total, or 0 if total is not positive.
func Fraction(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
