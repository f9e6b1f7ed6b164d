package daemon

import (
	"context"
	"sync"
	"time"
)

// Lifecycle manages the goroutines of a daemon from its start until its end. Its methods
// are safe for concurrent use.
type Lifecycle struct {
	ctx      context.Context
	cancel   context.CancelFunc
	stopping chan struct{} // closed by Shutdown
	failing  chan struct{} // closed by Fail
	done     chan struct{}
	stop     sync.Once
	fail     sync.Once
	err      error // written before failing is closed
	wait     sync.WaitGroup
}

// NewLifecycle returns a Lifecycle without goroutines.
func NewLifecycle() *Lifecycle {
	ctx, cancel := context.WithCancel(context.Background())
	return &Lifecycle{
		ctx:      ctx,
		cancel:   cancel,
		stopping: make(chan struct{}),
		failing:  make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Context returns a context that is cancelled when the goroutines must end.
func (l *Lifecycle) Context() context.Context { return l.ctx }

// Shutdown begins a graceful shutdown.
func (l *Lifecycle) Shutdown() { l.stop.Do(func() { close(l.stopping) }) }

// Stopping returns a channel that is closed when a graceful shutdown begins.
func (l *Lifecycle) Stopping() <-chan struct{} { return l.stopping }

// Fail ends the daemon without a graceful shutdown. Only the error of the first call is
// kept.
func (l *Lifecycle) Fail(err error) {
	l.fail.Do(func() {
		l.err = err
		close(l.failing)
	})
}

// Err returns the error passed to Fail, or nil. It may be called at any time.
func (l *Lifecycle) Err() error {
	select {
	case <-l.failing:
		return l.err
	default:
		return nil
	}
}

// Done returns a channel that is closed when all goroutines have ended.
func (l *Lifecycle) Done() <-chan struct{} { return l.done }

// Go runs f in a goroutine. An error of f is passed to Fail. Done is closed only after f
// has returned.
func (l *Lifecycle) Go(f func() error) {
	l.wait.Go(func() {
		if err := f(); err != nil {
			l.Fail(err)
		}
	})
}

// Spawn is like Go for a function that returns no error.
func (l *Lifecycle) Spawn(f func()) { l.wait.Go(f) }

// Wait waits until all functions that were passed to Go and Spawn have returned.
func (l *Lifecycle) Wait() { l.wait.Wait() }

// Every calls f at the given interval until the context is cancelled.
func (l *Lifecycle) Every(interval time.Duration, f func()) {
	l.Go(func() error {
		l.repeat(interval, nil, f)
		return nil
	})
}

// EveryOrOnWake calls f immediately, at the given interval, and after each Wake of w,
// until the context is cancelled. Calls do not overlap.
func (l *Lifecycle) EveryOrOnWake(interval time.Duration, w Waker, f func()) {
	l.Go(func() error {
		f()
		l.repeat(interval, w, f)
		return nil
	})
}

func (l *Lifecycle) repeat(interval time.Duration, w Waker, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w:
		case <-l.ctx.Done():
			return
		}
		f()
	}
}

// Waker triggers a periodic step before its interval has passed. Several wakes before the
// step count as one.
type Waker chan struct{}

// NewWaker returns a Waker without a pending wake.
func NewWaker() Waker { return make(Waker, 1) }

// Wake triggers the step. It does not block.
func (w Waker) Wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// Sleep waits for d. It returns false immediately if the daemon fails meanwhile.
func (l *Lifecycle) Sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.failing:
		return false
	}
}

// Supervise waits for Shutdown or Fail in the background. After Shutdown it runs drain.
// In both cases it then cancels the context, runs closeAll, which must make the goroutines
// end, waits for them, and closes Done.
func (l *Lifecycle) Supervise(drain, closeAll func()) {
	go func() {
		select {
		case <-l.stopping:
			drain()
		case <-l.failing:
		}
		l.cancel()
		closeAll()
		l.wait.Wait()
		close(l.done)
	}()
}
