package standin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// healthCheckInterval is the interval between health checks, and the timeout of each
// check.
const healthCheckInterval = 200 * time.Millisecond

// pollHealth checks the health of all balancers until ctx ends.
func (f *Fabric) pollHealth(ctx context.Context) error {
	client := &http.Client{Timeout: healthCheckInterval}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		f.checkAll(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// checkAll checks all balancers concurrently, so that a balancer that does not
// respond does not delay the results of the others.
func (f *Fabric) checkAll(ctx context.Context, client *http.Client) {
	f.mu.RLock()
	entries := f.entries
	f.mu.RUnlock()
	var checks sync.WaitGroup
	for _, e := range entries {
		checks.Go(func() {
			healthy := isHealthy(ctx, client, e.Health)
			f.mu.Lock()
			e.healthy = healthy
			f.mu.Unlock()
		})
	}
	checks.Wait()
}

func isHealthy(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
