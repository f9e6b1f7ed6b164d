package bench

// Roles of the daemons, or of their parts, whose cost RunSlopes measures.
const (
	RoleBalancer  = "balancer data path"
	RoleAgent     = "agent data path"
	RoleMember    = "membership of a balancer"
	RoleAnnouncer = "membership of an agent"
	RoleCollector = "collector"
	RoleReader    = "store reader"
	RoleHolder    = "quota holder"
	RoleGrantor   = "quota grantor"
)

const defaultRepeats = 5

// SlopeRoles lists the roles in the order of RunSlopes.
var SlopeRoles = []string{
	RoleBalancer, RoleAgent, RoleMember, RoleAnnouncer, RoleCollector, RoleReader, RoleHolder, RoleGrantor,
}

// Quantity is the kind of cost that a slope measures.
type Quantity string

// The quantities that RunSlopes measures.
const (
	CPU        Quantity = "cpu_ns"       // processor time of the process, in ns
	Memory     Quantity = "memory_bytes" // heap in use after garbage collection
	Wire       Quantity = "wire_bytes"   // encoded messages with their TCP and IP headers; of a shard, its value alone
	StoreCalls Quantity = "store_calls"
)

// Point is one measurement.
type Point struct {
	Units float64 `json:"units"`
	Value float64 `json:"value"`
}

// Slope is the growth of one cost of a role with a size of the fleet.
type Slope struct {
	Role      string   `json:"role"`
	Operation string   `json:"operation"`
	Quantity  Quantity `json:"quantity"`
	Per       string   `json:"per"` // the unit that Point.Units counts
	Line
	Points []Point `json:"points"`
}

// measurement is a cost that is measured at several sizes.
type measurement struct {
	operation string
	quantity  Quantity
	per       string
	sizes     []int
	point     func(m meter, size int) Point
}

// measurements returns the costs that are measured for a role.
func measurements(role string) []measurement {
	switch role {
	case RoleBalancer:
		return balancerMeasurements()
	case RoleAgent:
		return agentMeasurements()
	case RoleMember:
		return memberMeasurements()
	case RoleAnnouncer:
		return announcerMeasurements()
	case RoleCollector:
		return collectorMeasurements()
	case RoleReader:
		return readerMeasurements()
	case RoleHolder:
		return holderMeasurements()
	case RoleGrantor:
		return grantorMeasurements()
	}
	return nil
}

// RunSlopes measures the costs of all roles and passes each slope to report. Processor time
// and memory are the minimum of the given number of repetitions; 0 stands for the default
// of 5.
func RunSlopes(repeats int, report func(Slope)) {
	if repeats == 0 {
		repeats = defaultRepeats
	}
	for _, role := range SlopeRoles {
		for _, g := range measurements(role) {
			report(g.measure(role, meter{repeats: repeats}))
		}
	}
}

func (g *measurement) measure(role string, m meter) Slope {
	s := Slope{Role: role, Operation: g.operation, Quantity: g.quantity, Per: g.per}
	for _, size := range g.sizes {
		s.Points = append(s.Points, g.point(m, size))
	}
	s.Line = FitLine(s.Points)
	return s
}
