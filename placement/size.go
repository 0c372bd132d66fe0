package placement

// Size is an amount of resources of a worker.
type Size struct {
	// Slots is a number of task slots.
	Slots int
	// Processors is in thousandths of a core.
	Processors int
	// MemoryMB is in megabytes.
	MemoryMB int
	// Accelerators is a number of devices.
	Accelerators int
}

// Add returns s plus o.
func (s Size) Add(o Size) Size {
	return Size{s.Slots + o.Slots, s.Processors + o.Processors, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns s minus o. Components of the result may be negative.
func (s Size) Sub(o Size) Size {
	return Size{s.Slots - o.Slots, s.Processors - o.Processors, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Fits reports whether s fits into free.
func (s Size) Fits(free Size) bool {
	return s.Slots <= free.Slots && s.Processors <= free.Processors &&
		s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// Min returns the component-wise minimum of s and o.
func (s Size) Min(o Size) Size {
	return Size{
		min(s.Slots, o.Slots), min(s.Processors, o.Processors),
		min(s.MemoryMB, o.MemoryMB), min(s.Accelerators, o.Accelerators),
	}
}

// scale returns the processors and memory of s multiplied by f. Slots and
// accelerators are 0, since slots are reserved for the pool as a whole and
// accelerators are not reserved.
func (s Size) scale(f float64) Size {
	return Size{Processors: int(float64(s.Processors) * f), MemoryMB: int(float64(s.MemoryMB) * f)}
}

// DominantShare returns the dominant share of s: the largest fraction of total
// over all resources.
func (s Size) DominantShare(total Size) float64 {
	return max(fraction(s.Slots, total.Slots), fraction(s.Processors, total.Processors),
		fraction(s.MemoryMB, total.MemoryMB), fraction(s.Accelerators, total.Accelerators))
}

func fraction(part, whole int) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
