package caller

import "sync"

// BudgetConfig limits the retries of a client, so that they cannot amplify an overload.
// Zero fields take the default.
type BudgetConfig struct {
	Share float64 // retries earned by each request; default 0.2
	Most  float64 // maximum and initial number of available retries; default 10
}

// budget is a token bucket to which each request adds a fraction of a token, and from
// which each retry removes one.
type budget struct {
	cfg BudgetConfig

	mu     sync.Mutex
	tokens float64
}

func newBudget(cfg BudgetConfig) *budget {
	if cfg.Share == 0 {
		cfg.Share = 0.2
	}
	if cfg.Most == 0 {
		cfg.Most = 10
	}
	return &budget{cfg: cfg, tokens: cfg.Most}
}

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Most)
}

func (b *budget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
