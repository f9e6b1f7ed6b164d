package etcd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
)

// Watch implements store.Store. It returns when an endpoint has confirmed the watch, or
// with the error of the last endpoint tried.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	key, end := prefixRange(prefix)
	create := &wire.WatchCreate{Key: key, RangeEnd: end, StartRevision: wire.Int64(from)}
	body, err := json.Marshal(wire.WatchRequest{Create: create})
	if err != nil {
		return nil, err
	}
	if _, err := c.history.begin(); err != nil {
		return nil, outcome(read, false, wire.PathWatch, err)
	}
	first := c.preferred.Load()
	var last error
	for i := range c.cfg.Endpoints {
		index := (int(first) + i) % len(c.cfg.Endpoints)
		w, err := c.openWatch(ctx, c.cfg.Endpoints[index]+wire.PathWatch, body)
		if err == nil {
			c.preferred.Store(uint32(index))
			events := make(chan store.WatchBatch)
			go w.run(ctx, events)
			return events, nil
		}
		last = err
	}
	return nil, outcome(read, false, wire.PathWatch, last)
}

// watch is an open watch stream.
type watch struct {
	body    io.ReadCloser
	decoder *json.Decoder
	cancel  context.CancelFunc
	history *history
}

// openWatch opens the stream and waits for its confirmation for at most the client's
// timeout. A confirmed stream has no time limit.
func (c *Client) openWatch(ctx context.Context, url string, body []byte) (*watch, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(c.cfg.Timeout, cancel)
	w, err := c.startWatch(ctx, url, body)
	if err == nil && !timer.Stop() {
		w.body.Close()
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	w.cancel = cancel
	return w, nil
}

func (c *Client) startWatch(ctx context.Context, url string, body []byte) (*watch, error) {
	resp, _, err := c.post(ctx, url, body)
	if err != nil {
		return nil, err
	}
	w := &watch{body: resp.Body, decoder: json.NewDecoder(resp.Body), history: c.history}
	if err := w.confirm(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return w, nil
}

func (w *watch) confirm(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		return classifyError(resp.StatusCode, body).err
	}
	message, err := w.next()
	if err != nil {
		return err
	}
	if !message.Created {
		return fmt.Errorf("malformed response: the first message of a watch is not its confirmation")
	}
	return nil
}

func (w *watch) next() (*wire.WatchResponse, error) {
	var message wire.Stream[wire.WatchResponse]
	if err := w.decoder.Decode(&message); err != nil {
		return nil, err
	}
	if message.Error != nil {
		return nil, fmt.Errorf("watch ended by the store: %s", message.Error.Message)
	}
	if message.Result == nil {
		return nil, fmt.Errorf("malformed response: watch message without a result")
	}
	return message.Result, nil
}

// run delivers the changes until the stream or the context ends.
func (w *watch) run(ctx context.Context, events chan<- store.WatchBatch) {
	defer close(events)
	defer w.cancel()
	defer w.body.Close()
	for {
		batch, err := w.read()
		if err != nil {
			batch = append(batch, store.WatchBatch{Err: err})
		}
		for _, event := range batch {
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// read returns the changes of the next message as one event per revision, since the
// protocol may put several revisions into one message.
func (w *watch) read() ([]store.WatchBatch, error) {
	message, err := w.next()
	if err != nil {
		return nil, fmt.Errorf("%w: watch: %w", store.ErrUnavailable, err)
	}
	if _, err := w.history.begin(); err != nil {
		return nil, outcome(read, true, wire.PathWatch, err)
	}
	if message.CompactRevision > 0 {
		return nil, fmt.Errorf("%w: up to revision %d", store.ErrCompacted, message.CompactRevision)
	}
	if message.Canceled {
		return nil, fmt.Errorf("%w: watch cancelled: %s", store.ErrUnavailable, message.CancelReason)
	}
	return groupByRevision(message.Events), nil
}

func groupByRevision(events []wire.Event) []store.WatchBatch {
	var out []store.WatchBatch
	for _, event := range events {
		revision := int64(event.KV.ModRevision)
		if len(out) == 0 || out[len(out)-1].Revision != revision {
			out = append(out, store.WatchBatch{Revision: revision})
		}
		last := &out[len(out)-1]
		last.Events = append(last.Events, store.Event{KV: keyValue(event.KV), Deleted: event.Type == wire.EventDelete})
	}
	return out
}
