package caller

import "sync"

// BudgetConfig limits the retries of a client, so that they cannot amplify an overload.
// Zero fields take the default.
type BudgetConfig struct {
	Ratio float64 // retries earned by each request; default 0.2
	Burst float64 // maximum and initial number of available retries; default 10
}

// budget is a token bucket to which each request adds a fraction of a token, and from
// which each retry removes one.
type budget struct {
	cfg BudgetConfig

	mu     sync.Mutex
	tokens float64
}

func newBudget(cfg BudgetConfig) *budget {
	if cfg.Ratio == 0 {
		cfg.Ratio = 0.2
	}
	if cfg.Burst == 0 {
		cfg.Burst = 10
	}
	return &budget{cfg: cfg, tokens: cfg.Burst}
}

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
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
