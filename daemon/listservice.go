package daemon

import "github.com/nutmegtrack/nutmegtrack/plan"

// Names of the RPC service that serves the active lists to peers.
const (
	ListsService = "Lists"
	listsHead    = ListsService + ".Head"
	listsPages   = ListsService + ".Pages"
)

// maxPagesPerCall is the maximum number of pages in one reply, so that the reply arrives
// within the call timeout. Readers request fewer.
const maxPagesPerCall = 64

// ListsRPC is the RPC service that provides the active lists to peers. The lists are stored
// as pages, each named by its hash, and a head (plan.Head), which describes one revision and
// names its pages.
type ListsRPC struct {
	lists *Lists
}

// NewListsRPC returns the RPC service for the lists of a process.
func NewListsRPC(l *Lists) *ListsRPC { return &ListsRPC{lists: l} }

// HeadArgs are the arguments of Lists.Head; there are none.
type HeadArgs struct{}

// HeadReply holds an encoded plan.Head, which is empty if no lists are active.
type HeadReply struct {
	Head []byte
}

// Head handles the RPC.
func (s *ListsRPC) Head(_ *HeadArgs, reply *HeadReply) error {
	s.lists.mu.Lock()
	defer s.lists.mu.Unlock()
	reply.Head = s.lists.reader.Head()
	return nil
}

// PagesArgs names the requested pages by hash.
type PagesArgs struct {
	Hashes []plan.Hash
}

// PagesReply holds the requested pages that this process has.
type PagesReply struct {
	Pages plan.Pages
}

// Pages handles the RPC. Hashes after the first maxPagesPerCall are ignored.
func (s *ListsRPC) Pages(args *PagesArgs, reply *PagesReply) error {
	s.lists.mu.Lock()
	defer s.lists.mu.Unlock()
	reply.Pages = s.lists.reader.Pages(args.Hashes[:min(len(args.Hashes), maxPagesPerCall)])
	return nil
}
