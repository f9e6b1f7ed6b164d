package bench

// Roles of the processes whose cost RunSlopes measures.
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
	Wire       Quantity = "wire_bytes"   // encoded messages with their TCP and IP headers
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

// growth is a cost that is measured at several sizes.
type growth struct {
	operation string
	quantity  Quantity
	per       string
	sizes     []int
	at        func(m meter, size int) Point
}

// growths returns the costs that are measured for a role.
func growths(role string) []growth {
	switch role {
	case RoleBalancer:
		return balancerGrowths()
	case RoleAgent:
		return agentGrowths()
	case RoleMember:
		return memberGrowths()
	case RoleAnnouncer:
		return announcerGrowths()
	case RoleCollector:
		return collectorGrowths()
	case RoleReader:
		return readerGrowths()
	case RoleHolder:
		return holderGrowths()
	case RoleGrantor:
		return grantorGrowths()
	}
	return nil
}

// RunSlopes measures the costs of all roles and passes each slope to found. Processor time
// and memory are the minimum of the given number of repetitions; 0 stands for the default
// of 5.
func RunSlopes(repeats int, found func(Slope)) {
	if repeats == 0 {
		repeats = defaultRepeats
	}
	for _, role := range SlopeRoles {
		for _, g := range growths(role) {
			found(g.measure(role, meter{repeats: repeats}))
		}
	}
}

func (g *growth) measure(role string, m meter) Slope {
	s := Slope{Role: role, Operation: g.operation, Quantity: g.quantity, Per: g.per}
	for _, size := range g.sizes {
		s.Points = append(s.Points, g.at(m, size))
	}
	s.Line = FitLine(s.Points)
	return s
}
