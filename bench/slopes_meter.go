package bench

import (
	"math"
	"runtime"
	"syscall"
)

// meter measures processor time and memory. Other processes on the machine can only
// increase the values, so the minimum of several repetitions is used.
type meter struct {
	repeats int
}

// cpu returns the minimum processor time of work over the repetitions, in nanoseconds.
// prepare is called before each repetition and is not measured.
func (m meter) cpu(prepare, work func()) float64 {
	minimum := math.Inf(1)
	for range m.repeats {
		prepare()
		runtime.GC()
		begin := processorTime()
		work()
		minimum = min(minimum, float64(processorTime()-begin))
	}
	return minimum
}

// heap returns the minimum size, over the repetitions, of the heap memory that the result of
// build keeps in use, in bytes.
func (m meter) heap(build func() any) float64 {
	minimum := math.Inf(1)
	for range m.repeats {
		before := heapInUse()
		built := build()
		minimum = min(minimum, heapInUse()-before)
		runtime.KeepAlive(built)
	}
	return minimum
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // objects with finalizers are freed only in a second cycle
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processorTime returns the user and system time of this process in nanoseconds, including
// that of the garbage collector.
func processorTime() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("bench: processor time is not available: " + err.Error())
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}
