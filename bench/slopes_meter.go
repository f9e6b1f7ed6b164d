package bench

import (
	"encoding/gob"
	"math"
	"net/rpc"
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

// callSize computes the bytes of calls of one RPC method by encoding them with
// gob, with the TCP and IP headers of one request and one response packet. The
// type descriptions, which gob sends once for each connection, are left out.
type callSize struct {
	method string
	n      int
	enc    *gob.Encoder
	seq    uint64
}

// newCallSize returns the size of calls with arguments and replies of the types
// of the samples.
func newCallSize(method string, arguments, reply any) *callSize {
	s := &callSize{method: method}
	s.enc = gob.NewEncoder(s)
	s.bytes(arguments, reply)
	return s
}

// Write counts bytes.
func (s *callSize) Write(b []byte) (int, error) {
	s.n += len(b)
	return len(b), nil
}

// bytes returns the size of one call.
func (s *callSize) bytes(arguments, reply any) int {
	s.n = 0
	s.seq++
	for _, v := range []any{
		&rpc.Request{ServiceMethod: s.method, Seq: s.seq}, arguments,
		&rpc.Response{ServiceMethod: s.method, Seq: s.seq}, reply,
	} {
		if err := s.enc.Encode(v); err != nil {
			panic("bench: " + s.method + " is not gob-encodable: " + err.Error())
		}
	}
	return s.n + tcpIPHeaders
}
