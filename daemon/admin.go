package daemon

// AdminService is the name of the RPC service of operators.
const AdminService = "Admin"

// AdminDrain is the method that begins a graceful shutdown.
const AdminDrain = AdminService + ".Drain"

// Admin serves operators' requests.
type Admin struct {
	drain func() (left int)
}

// NewAdmin returns a service that begins a graceful shutdown with drain, which
// returns the number of open flows.
func NewAdmin(drain func() (left int)) *Admin { return &Admin{drain: drain} }

// DrainArgs is empty.
type DrainArgs struct{}

// DrainReply answers a drain request.
type DrainReply struct {
	Left int // flows open now; 0 for a balancer
}

// Drain serves the RPC. It returns as soon as the shutdown has begun.
func (a *Admin) Drain(_ *DrainArgs, reply *DrainReply) error {
	reply.Left = a.drain()
	return nil
}
