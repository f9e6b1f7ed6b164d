package control

import "github.com/nutmegtrack/nutmegtrack/member"

const (
	// MemberService is the RPC service name of Member.
	MemberService = "Member"
	// MemberCall is the RPC method that carries membership messages.
	MemberCall = MemberService + ".Call"
)

// Member is the RPC service that receives membership messages.
type Member struct {
	handle func(member.Message) member.Message
}

// NewMember returns a service that passes each request to handle, from any
// goroutine.
func NewMember(handle func(member.Message) member.Message) *Member {
	return &Member{handle: handle}
}

// Call handles the RPC.
func (m *Member) Call(request *member.Message, reply *member.Message) error {
	*reply = m.handle(*request)
	return nil
}
