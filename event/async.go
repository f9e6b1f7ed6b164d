package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines is the capacity of the queue for a slow reader of the log. Further lines
	// are dropped and counted. 1,024 lines of 250 bytes are 256 KB.
	queueLines = 1024
	// flowLinesPerSecond and flowLinesBurst limit the lines about single flows. A process
	// may log 50 lines per second in total, so 10 remain for other events.
	flowLinesPerSecond = 40
	flowLinesBurst     = 200
	// endLinesReserve is the part of flowLinesBurst that only lines of LogFlowEnd may use.
	endLinesReserve = 100
	// flushInterval is the maximum time that lines about single flows are buffered to be
	// written together, because writing each line at once would wake up the process for
	// each of them.
	flushInterval = 500 * time.Millisecond
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
)

// queue writes lines in the background, so that a slow reader of the log does not block
// the packet path.
type queue struct {
	w            io.Writer
	lines        chan []byte
	flushNow     chan struct{} // requests an immediate write
	flowLimiter  *rate.Limiter
	rateDropped  atomic.Int64 // flow lines dropped by the rate limit
	queueDropped atomic.Int64 // lines dropped because the queue was full
	closing      sync.Once
	stop         chan struct{} // closed by close
	done         chan struct{} // closed when run has returned
}

func newQueue(w io.Writer) *queue {
	q := &queue{
		w: w, lines: make(chan []byte, queueLines), flushNow: make(chan struct{}, 1), flowLimiter: rate.NewLimiter(flowLinesPerSecond, flowLinesBurst),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues one line, or drops and counts it when the queue is full.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.queueDropped.Add(1)
	}
	return len(line), nil
}

// flush makes run write the queued lines now.
func (q *queue) flush() {
	select {
	case q.flushNow <- struct{}{}:
	default:
	}
}

// run writes the queued lines in batches until the queue is stopped and empty.
func (q *queue) run() {
	defer close(q.done)
	var batch []byte
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for stopped := false; !stopped; {
		select {
		case <-q.flushNow:
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

// batchBytes is the size at which a batch is complete. With one more line it stays below
// 4,096 bytes, up to which a write to a pipe is atomic.
const batchBytes = 3 << 10

// collect appends queued lines until the batch is complete or the queue is empty.
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

// close stops the queue and waits until the queued lines are written, for at most limit.
func (q *queue) close(limit time.Duration) {
	q.closing.Do(func() { close(q.stop) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
	}
}

// closeTimeout is the maximum time that a stopping process waits for the reader of its log.
const closeTimeout = 200 * time.Millisecond

// NewQueued returns a logger that never blocks: lines are added to a bounded queue and
// dropped when it is full. The lines of LogFlow are rate-limited as well. Close writes
// the queued lines; later lines are lost.
func NewQueued(w io.Writer, pairs ...any) *Logger {
	q := newQueue(w)
	l := NewLogger(q, pairs...)
	l.queue = q
	return l
}

// Close writes the queued lines and stops the queue.
func (l *Logger) Close() {
	if l.queue != nil {
		l.reportDropped(true)
		l.queue.close(closeTimeout)
	}
}

// LogFlow writes an event about a single flow, unless the rate limit is exceeded.
func (l *Logger) LogFlow(d Definition, pairs ...any) { l.logFlow(d, pairs, endLinesReserve) }

// LogFlowEnd does the same for an event that may explain why a flow was broken. Part of the rate limit is
// reserved for such lines: they come when there are most lines of other flows.
func (l *Logger) LogFlowEnd(d Definition, pairs ...any) { l.logFlow(d, pairs, 0) }

// logFlow writes the event if the rate limit allows for it and for further lines, reserve in number.
func (l *Logger) logFlow(d Definition, pairs []any, reserve float64) {
	if q := l.queue; q != nil && (q.flowLimiter.Tokens() < reserve || !q.flowLimiter.Allow()) {
		q.rateDropped.Add(1)
		l.reportDropped(false)
		return
	}
	l.write(d, pairs)
}

// reportDropped logs how many lines were dropped, at most once per dropReportInterval and,
// with last, when the logger is closed.
func (l *Logger) reportDropped(last bool) {
	now := time.Now().UnixNano()
	next := l.nextDropReport.Load()
	if !last && (now < next || !l.nextDropReport.CompareAndSwap(next, now+int64(dropReportInterval))) {
		return
	}
	rateDropped, queueDropped := l.queue.rateDropped.Swap(0), l.queue.queueDropped.Swap(0)
	if rateDropped+queueDropped > 0 {
		l.Log(LinesDropped, "flow_lines", rateDropped, "queue_full", queueDropped)
	}
}
