package control

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// DumpService is the RPC service name of Dump.
const DumpService = "Dump"

// Dump is the RPC service that returns the state of a process as JSON, collected from
// named sources. Its RPC method is Dump.State.
type Dump struct {
	mu      sync.Mutex
	sources map[string]func() any
}

// NewDump returns a Dump without sources.
func NewDump() *Dump { return &Dump{sources: make(map[string]func() any)} }

// AddSource registers a named part of the dump. The function is called for each dump,
// from any goroutine, and its result must not change afterwards.
func (d *Dump) AddSource(name string, source func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sources[name] = source
}

// AddMetrics registers a metrics registry as the source "metrics".
func (d *Dump) AddMetrics(r metrics.Registry) {
	d.AddSource("metrics", func() any { return r.GetAll() })
}

// DumpArgs names the sources to dump; an empty list means all.
type DumpArgs struct {
	Sources []string
}

// DumpReply holds one JSON object with one field for each source.
type DumpReply struct {
	JSON []byte
}

// State handles the RPC. It returns an error for an unknown source and for a source
// whose result cannot be encoded.
func (d *Dump) State(args *DumpArgs, reply *DumpReply) error {
	selected, err := d.selectSources(args.Sources)
	if err != nil {
		return err
	}
	parts := make(map[string]json.RawMessage, len(selected))
	for name, source := range selected {
		b, err := json.Marshal(source())
		if err != nil {
			return errors.Wrapf(err, "control: encode dump source %q", name)
		}
		parts[name] = b
	}
	reply.JSON, err = json.Marshal(parts)
	return err
}

func (d *Dump) selectSources(names []string) (map[string]func() any, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]func() any, len(d.sources))
	if len(names) == 0 {
		for name, source := range d.sources {
			out[name] = source
		}
	}
	for _, name := range names {
		source, known := d.sources[name]
		if !known {
			return nil, errors.Newf("control: unknown dump source %q", name)
		}
		out[name] = source
	}
	return out, nil
}
