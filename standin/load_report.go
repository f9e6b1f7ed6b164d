package standin

import "time"

// BrokenFlow describes one broken flow in a report.
type BrokenFlow struct {
	Flow     FlowID `json:"flow"`
	Service  string `json:"service"`
	Source   string `json:"source"`
	Dest     string `json:"dest"`
	Proto    uint8  `json:"proto"`
	Reason   Reason `json:"reason"`
	Detail   string `json:"detail,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Planned is false if the flow's upstream had been killed on purpose, which makes the
	// break unavoidable, and true for every other break.
	Planned bool          `json:"planned"`
	Request uint32        `json:"request"` // number of the flow's latest request
	Opened  time.Duration `json:"opened"`
	Broken  time.Duration `json:"broken"`
}

// LoadReport contains the counters and records of all clients of one process.
type LoadReport struct {
	Started           time.Time      `json:"started"` // all durations in the report count from here
	FlowsOpened       uint64         `json:"flows_opened"`
	FlowsClosed       uint64         `json:"flows_closed"`
	FlowsOpen         int            `json:"flows_open"`
	FlowsOpenMax      int            `json:"flows_open_max"`
	FlowsOpenBy       map[string]int `json:"flows_open_by_service"`
	BrokenPlanned     uint64         `json:"broken_planned"`
	BrokenUnplanned   uint64         `json:"broken_unplanned"`
	RequestsSent      uint64         `json:"requests_sent"`
	ResponsesExpected uint64         `json:"responses_expected"` // first responses to a flow's latest request
	ResponsesLate     uint64         `json:"responses_late"`
	Mismatched        uint64         `json:"mismatched"`
	WrongService      uint64         `json:"wrong_service"`
	Retransmissions   uint64         `json:"retransmissions"`
	Stray             uint64         `json:"stray"`         // not processed: unparsable packets, ICMP errors, packets of no open flow
	FlowsRefused      uint64         `json:"flows_refused"` // flows of greedy targets that ended without an answer
	Broken            []BrokenFlow   `json:"broken"`
	Attempts          []Attempt      `json:"attempts"`
	AttemptsDropped   uint64         `json:"attempts_dropped"` // attempts beyond the limit of the list
}

// maxBrokenFlows is the maximum number of broken flows listed in a report. Flows
// beyond it are only counted.
const maxBrokenFlows = 200
