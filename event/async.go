package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait for a slow reader of the log. Further lines
	// are left out and counted: 1,024 lines of 250 bytes are 256 KB.
	queueLines = 1024
	// flowRate and flowBurst bound the lines about single flows, per second: operators
	// allow a process 50 lines a second, of which some are about other things.
	flowRate  = 40
	flowBurst = 200
	// flushInterval is the longest time for which the lines about single flows wait to be
	// written together with others: each write wakes the process up.
	flushInterval = 500 * time.Millisecond
	// leftOutInterval is the time between two lines that count what was left out.
	leftOutInterval = 5 * time.Second
)

// queue writes lines in the background, so that a slow reader of the log never holds up
// a packet.
type queue struct {
	w       io.Writer
	lines   chan []byte
	urgent  chan struct{} // a line is to be written at once
	flows   *rate.Limiter
	limited atomic.Int64 // flow lines left out because of their rate
	full    atomic.Int64 // lines left out because the queue was full
	closing sync.Once
	stop    chan struct{} // closed by close
	done    chan struct{} // closed when run has ended
}

func newQueue(w io.Writer) *queue {
	q := &queue{
		w: w, lines: make(chan []byte, queueLines), urgent: make(chan struct{}, 1), flows: rate.NewLimiter(flowRate, flowBurst),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues one line.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.full.Add(1)
	}
	return len(line), nil
}

// flush makes run write what waits.
func (q *queue) flush() {
	select {
	case q.urgent <- struct{}{}:
	default:
	}
}

// run writes until the queue is stopped and empty. Lines that wait are written together.
func (q *queue) run() {
	defer close(q.done)
	var batch []byte
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for stopped := false; !stopped; {
		select {
		case <-q.urgent:
		case <-ticker.C:
		case <-q.stop:
			stopped = true
		}
		for batch = q.collect(batch[:0]); len(batch) > 0; batch = q.collect(batch[:0]) {
			// A failed write to the log must not stop the data path.
			_, _ = q.w.Write(batch)
		}
	}
}

// batchBytes is the size from which on lines are written: with one more line a write to a
// pipe stays below 4,096 bytes, which the system does not split.
const batchBytes = 3 << 10

// collect appends the lines that wait.
func (q *queue) collect(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// close writes what waits, for at most the time limit.
func (q *queue) close(limit time.Duration) {
	q.closing.Do(func() { close(q.stop) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
	}
}

// closeLimit bounds the time for which a process that stops waits for the reader of its
// log.
const closeLimit = 200 * time.Millisecond

// NewQueued returns a logger that never blocks: lines wait in a bounded queue and are
// left out when it is full. The lines of LogFlow are bounded in number as well. Close
// writes what waits; later lines are lost.
func NewQueued(w io.Writer, pairs ...any) *Logger {
	q := newQueue(w)
	l := NewLogger(q, pairs...)
	l.queue = q
	return l
}

// Close writes what waits in the queue.
func (l *Logger) Close() {
	if l.queue != nil {
		l.reportLeftOut(true)
		l.queue.close(closeLimit)
	}
}

// LogFlow writes an event about a single flow, unless there are too many.
func (l *Logger) LogFlow(d Definition, pairs ...any) {
	if l.queue != nil && !l.queue.flows.Allow() {
		l.queue.limited.Add(1)
		l.reportLeftOut(false)
		return
	}
	l.write(d, pairs)
}

// reportLeftOut logs, now and then or at the end, how many lines were left out.
func (l *Logger) reportLeftOut(last bool) {
	now := time.Now().UnixNano()
	next := l.nextReport.Load()
	if !last && (now < next || !l.nextReport.CompareAndSwap(next, now+int64(leftOutInterval))) {
		return
	}
	limited, full := l.queue.limited.Swap(0), l.queue.full.Swap(0)
	if limited+full > 0 {
		l.Log(LinesLeftOut, "flow_lines", limited, "queue_full", full)
	}
}
