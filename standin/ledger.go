package standin

// Run is one request that an upstream ran.
type Run struct {
	Flow   FlowID `json:"flow"`
	Number uint32 `json:"number"`
}

// Ledger records the requests that an upstream ran. Its limit bounds the memory that
// it uses; requests beyond the limit are only counted.
type Ledger struct {
	limit   int
	runs    []Run
	dropped uint64
}

// NewLedger returns an empty ledger for up to limit requests.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: limit}
}

// Add records a request.
func (l *Ledger) Add(r Run) {
	if len(l.runs) >= l.limit {
		l.dropped++
		return
	}
	l.runs = append(l.runs, r)
}

// Duplicates returns the repeated runs of requests across the given records: a
// request that ran three times is returned twice.
func Duplicates(records ...[]Run) []Run {
	seen := make(map[Run]struct{})
	var twice []Run
	for _, runs := range records {
		for _, r := range runs {
			if _, ok := seen[r]; ok {
				twice = append(twice, r)
			}
			seen[r] = struct{}{}
		}
	}
	return twice
}
