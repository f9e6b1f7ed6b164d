package daemon

// AdminService is the name of the RPC service for operators.
const AdminService = "Admin"

// AdminDrain is the RPC method that begins a graceful shutdown, as SIGTERM does.
const AdminDrain = AdminService + ".Drain"

// Admin is the RPC service for operators.
type Admin struct {
	drain func() (left int)
}

// NewAdmin returns a service that calls drain to begin a graceful shutdown. drain returns
// the number of open flows.
func NewAdmin(drain func() (left int)) *Admin { return &Admin{drain: drain} }

// DrainArgs are the arguments of Admin.Drain; there are none.
type DrainArgs struct{}

// DrainReply is the reply of Admin.Drain.
type DrainReply struct {
	Left int // number of flows that are still open; 0 for a balancer
}

// Drain handles the RPC. It returns as soon as the shutdown has begun.
func (a *Admin) Drain(_ *DrainArgs, reply *DrainReply) error {
	reply.Left = a.drain()
	return nil
}
