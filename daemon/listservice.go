package daemon

import (
	"context"
	"net/netip"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

// Names of the RPC service that serves the active lists to peers.
const (
	ListsService = "Lists"
	listsHead    = ListsService + ".Head"
	listsPages   = ListsService + ".Pages"
)

// maxPagesReply bounds the pages of one reply in bytes, so that a reply arrives
// within the timeout of a call. One page is always sent.
const maxPagesReply = 256 << 10

// ListsRPC serves the active lists to peers.
type ListsRPC struct {
	lists *Lists
}

// NewListsRPC returns the service of a holder.
func NewListsRPC(l *Lists) *ListsRPC { return &ListsRPC{lists: l} }

// HeadArgs is empty.
type HeadArgs struct{}

// HeadReply holds an encoded plan.Head, or nothing when no lists are active.
type HeadReply struct {
	Head []byte
}

// Head serves the RPC.
func (s *ListsRPC) Head(_ *HeadArgs, reply *HeadReply) error {
	if a := s.lists.active.Load(); a != nil {
		reply.Head = a.Head.Short().Encode()
	}
	return nil
}

// PagesArgs names pages.
type PagesArgs struct {
	Hashes []plan.Hash
}

// PagesReply holds those of the named pages that are known and fit in one reply.
type PagesReply struct {
	Pages plan.Pages
}

// Pages serves the RPC.
func (s *ListsRPC) Pages(args *PagesArgs, reply *PagesReply) error {
	reply.Pages = plan.Pages{}
	size := 0
	for _, hash := range args.Hashes {
		page, known := s.lists.page(hash)
		if !known {
			continue
		}
		if size += len(page); size > maxPagesReply && len(reply.Pages) > 0 {
			return nil
		}
		reply.Pages[hash] = page
	}
	return nil
}

// PeerLists reads lists from another process.
type PeerLists struct {
	Transport Transport
	Control   netip.AddrPort
}

// Head implements ListSource.
func (p PeerLists) Head(ctx context.Context) (plan.Head, error) {
	var reply HeadReply
	err := p.Transport.Call(ctx, p.Control, listsHead, &HeadArgs{}, &reply)
	if err != nil || len(reply.Head) == 0 {
		return plan.Head{}, err
	}
	return plan.DecodeHead(reply.Head)
}

// Pages implements ListSource.
func (p PeerLists) Pages(ctx context.Context, hashes []plan.Hash) (plan.Pages, error) {
	var reply PagesReply
	err := p.Transport.Call(ctx, p.Control, listsPages, &PagesArgs{Hashes: hashes}, &reply)
	return reply.Pages, err
}
