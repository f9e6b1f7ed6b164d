package daemon

import "github.com/nutmegtrack/nutmegtrack/plan"

// Names of the RPC service that serves the active lists to peers.
const (
	ListsService = "Lists"
	listsHead    = ListsService + ".Head"
	listsPages   = ListsService + ".Pages"
)

// maxHashes bounds the pages of one request, so that a reply arrives within the
// timeout of a call. Readers ask for fewer.
const maxHashes = 64

// ListsRPC serves the active lists to peers.
type ListsRPC struct {
	lists *Lists
}

// NewListsRPC returns the service of a process's lists.
func NewListsRPC(l *Lists) *ListsRPC { return &ListsRPC{lists: l} }

// HeadArgs is empty.
type HeadArgs struct{}

// HeadReply holds an encoded plan.Head, or nothing when no lists are active.
type HeadReply struct {
	Head []byte
}

// Head serves the RPC.
func (s *ListsRPC) Head(_ *HeadArgs, reply *HeadReply) error {
	s.lists.mu.Lock()
	defer s.lists.mu.Unlock()
	reply.Head = s.lists.reader.Head()
	return nil
}

// PagesArgs names pages.
type PagesArgs struct {
	Hashes []plan.Hash
}

// PagesReply holds those of the named pages that this process has.
type PagesReply struct {
	Pages plan.Pages
}

// Pages serves the RPC.
func (s *ListsRPC) Pages(args *PagesArgs, reply *PagesReply) error {
	s.lists.mu.Lock()
	defer s.lists.mu.Unlock()
	reply.Pages = s.lists.reader.Pages(args.Hashes[:min(len(args.Hashes), maxHashes)])
	return nil
}
