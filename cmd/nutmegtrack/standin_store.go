package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// readHeaderTimeout is the timeout for the header of a request; it ends connections that
// never send one.
const readHeaderTimeout = 10 * time.Second

// newStandinStore returns `standin store`.
func newStandinStore() command {
	sub := flaggy.NewSubcommand("store")
	sub.Description = "serves an in-memory store with the protocol of the platform's store"
	listen := "127.0.0.1:2379"
	var history int
	sub.String(&listen, "", "listen", "address to listen on, IP:PORT")
	sub.Int(&history, "", "history", "number of changes kept for watches (default 10000)")
	run := func() int { return runStandinStore(listen, standin.StoreConfig{History: history}) }
	return command{sub: sub, run: run}
}

// runStandinStore serves until SIGTERM or SIGINT. It prints the address on which it listens,
// so that callers can use port 0.
func runStandinStore(listen string, cfg standin.StoreConfig) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack: standin store:", err)
		return exitUsage
	}
	fmt.Printf("listening on %s\n", listener.Addr())
	store := standin.NewStoreServer(cfg)
	server := &http.Server{Handler: store, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() {
		store.Close()
		server.Close()
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, "nutmegtrack: standin store:", err)
		return exitFailure
	}
	return exitOK
}
