package standin

// Run is one request that an upstream ran.
type Run struct {
	Flow   FlowID `json:"flow"`
	Number uint32 `json:"number"`
}

// Ledger records the requests that an upstream ran, up to a limit that bounds
// its memory. Requests beyond the limit are counted in Dropped.
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

// Duplicates returns the requests that occur more than once in the given records,
// with a request that ran three times counted twice.
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
