package bench

import (
	"math"
	"runtime"
	"syscall"
)

// meter measures noisy costs. Other processes on the machine only add to them, so
// the least of several repetitions is taken.
type meter struct {
	repeats int
}

// cpu returns the least processor time in nanoseconds that one of the
// repetitions of work takes. prepare is called before each and not measured.
func (m meter) cpu(prepare, work func()) float64 {
	least := math.Inf(1)
	for range m.repeats {
		prepare()
		runtime.GC()
		begin := processorTime()
		work()
		least = min(least, float64(processorTime()-begin))
	}
	return least
}

// heap returns the least number of bytes that one of the repetitions of build
// leaves in use.
func (m meter) heap(build func() any) float64 {
	least := math.Inf(1)
	for range m.repeats {
		before := heapInUse()
		built := build()
		least = min(least, heapInUse()-before)
		runtime.KeepAlive(built)
	}
	return least
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // the first run may only have queued what finalizers hold
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processorTime returns the user and system time of this process, with that of the
// garbage collector, in nanoseconds.
func processorTime() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("bench: processor time is not available: " + err.Error())
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}
