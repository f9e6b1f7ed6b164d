package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/httpfront"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/request"
)

func TestCaller(t *testing.T) { spec.Run(t, "caller") }

// service is a test server that records the retry header of each attempt.
type service struct {
	*httptest.Server
	sleeps []time.Duration // the durations that clients passed to Config.Sleep

	mu           sync.Mutex
	retryHeaders []string // the value of HeaderRetry in each attempt
}

// record records an attempt and returns its index.
func (s *service) record(retry string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryHeaders = append(s.retryHeaders, retry)
	return len(s.retryHeaders) - 1
}

func (s *service) receivedRetryHeaders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryHeaders
}

// serve returns a service that responds to each attempt with the next of the given
// outcomes, each optionally followed by a reason; "cut" closes the connection instead.
func serve(outcomes ...string) *service {
	s := &service{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := s.record(r.Header.Get(httpfront.HeaderRetry))
		outcome, reason, _ := strings.Cut(outcomes[n], " ")
		if outcome == "cut" {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(httpfront.HeaderOutcome, outcome)
		w.Header().Set(httpfront.HeaderReason, reason)
		if outcome == "not-run" {
			w.Header().Set("Retry-After", "1")
		}
		_, _ = io.Copy(w, r.Body)
	}))
	ginkgo.DeferCleanup(s.Close)
	return s
}

// send sends a request to the service with a new client.
func (s *service) send(method, key string, cfg Config) Result {
	cfg.Sleep = func(_ context.Context, d time.Duration) error {
		s.sleeps = append(s.sleeps, d)
		return nil
	}
	r, err := http.NewRequest(method, s.URL, strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	if key != "" {
		r.Header.Set(httpfront.HeaderKey, key)
	}
	return New(cfg).Do(r)
}

var _ = ginkgo.Describe("Client", func() {
	ginkgo.It("retries a request that was not run, after the time in Retry-After", func() {
		// Guards against a refused request that is not retried, and against retries before
		// Retry-After has passed.
		s := serve("not-run", "done")
		result := s.send("POST", "", Config{})
		Expect(result.Outcome).To(Equal(request.Done))
		Expect(io.ReadAll(result.Response.Body)).To(Equal([]byte("body")))
		Expect(s.sleeps).To(HaveExactElements(BeNumerically(">=", time.Second)))
		Expect(s.receivedRetryHeaders()).To(Equal([]string{"", ""}))
	})

	ginkgo.It("never retries a non-idempotent request without a key after an unknown outcome", func() {
		// Guards against a request that runs twice.
		for _, outcome := range []string{"unknown", "cut"} {
			s := serve(outcome, "done")
			Expect(s.send("POST", "", Config{}).Outcome).To(Equal(request.Unknown))
			Expect(s.receivedRetryHeaders()).To(HaveLen(1))
		}
	})

	ginkgo.It("retries idempotent requests and those with a key after an unknown outcome, unless the attempt is lost", func() {
		// Guards against a missing retry where one is safe, and against one that cannot
		// change the outcome.
		for method, key := range map[string]string{"POST": "k", "PUT": ""} {
			s := serve("cut", "unknown deadline", "done")
			Expect(s.send(method, key, Config{}).Outcome).To(Equal(request.Done))
			Expect(s.receivedRetryHeaders()).To(Equal([]string{"", "1", "1"}))
		}
		s := serve("unknown attempt-lost", "done")
		Expect(s.send("POST", "k", Config{}).Outcome).To(Equal(request.Unknown))
	})

	ginkgo.It("reports not-run only if no attempt can have run", func() {
		// Guards against reporting not-run after an earlier attempt whose connection broke.
		s := serve("cut", "not-run")
		Expect(s.send("POST", "k", Config{MaxAttempts: 2}).Outcome).To(Equal(request.Unknown))
		s = serve("not-run", "not-run")
		Expect(s.send("POST", "k", Config{MaxAttempts: 2}).Outcome).To(Equal(request.NotRun))
		s.Close()
		Expect(s.send("POST", "", Config{MaxAttempts: 2})).To(And(HaveField("Outcome", request.NotRun), HaveField("Attempts", 2)))
	})

	ginkgo.It("stops retrying when the retry budget is exhausted", func() {
		// Guards against retries that amplify an overload.
		s := serve("not-run", "not-run", "not-run", "not-run")
		result := s.send("GET", "", Config{MaxAttempts: 9, Budget: BudgetConfig{Burst: 2}})
		Expect(result.Attempts).To(Equal(3))
	})
})
