package plan

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Keys of the lists in the store.
const (
	HeadKey        = "lists/head"
	PagePrefix     = "lists/page/"
	RevisionPrefix = "lists/revision/"
)

const (
	historySize = 100 // edits that a head remembers

	// KeptRevisions is how many revisions before the current one stay readable, for
	// readers that still fetch them and for the differences shown to operators.
	KeptRevisions = 20
)

// PageKey returns the page's key in the store.
func PageKey(h Hash) string { return PagePrefix + string(h) }

// RevisionKey returns the key of a revision's short head in the store.
func RevisionKey(revision int64) string { return RevisionPrefix + strconv.FormatInt(revision, 10) }

// Edit is one accepted edit.
type Edit struct {
	Revision int64     `json:"revision"`
	ID       string    `json:"edit_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Retired is a page that is no longer used since Revision.
type Retired struct {
	Hash     Hash  `json:"hash"`
	Revision int64 `json:"revision"`
}

// Head is the value of HeadKey: which pages make up the lists of a revision.
type Head struct {
	Edit
	Parent    string    `json:"parent"` // ID of the edit that this one was made from
	Customers []Hash    `json:"customers"`
	Plans     []Hash    `json:"plans"`
	History   []Edit    `json:"history,omitempty"` // latest last, this edit included
	Retired   []Retired `json:"retired,omitempty"`
}

// DecodeHead reads a head from the store or a peer.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, errors.Wrap(err, "plan: malformed head")
	}
	if h.Revision <= 0 || h.ID == "" {
		return Head{}, errors.New("plan: malformed head: no revision or edit ID")
	}
	return h, nil
}

// Encode returns the head as it is stored.
func (h Head) Encode() []byte {
	value, err := json.Marshal(h)
	if err != nil {
		// Only a time whose year has more than four digits cannot be encoded.
		panic(err)
	}
	return value
}

// Short returns the head without what only editors use, for peers.
func (h Head) Short() Head {
	h.History, h.Retired = nil, nil
	return h
}

// Hashes returns the names of all pages of the revision.
func (h Head) Hashes() []Hash {
	return append(slices.Clone(h.Customers), h.Plans...)
}

// Join puts both lists together from their pages.
func (h Head) Join(pages Pages) (Documents, error) {
	customers, err := pages.join(h.Customers)
	if err != nil {
		return Documents{}, err
	}
	plans, err := pages.join(h.Plans)
	return Documents{Customers: customers, Plans: plans}, err
}

// Find returns the edit from the history, and false when it is not there.
func (h Head) Find(editID string) (Edit, bool) {
	i := slices.IndexFunc(h.History, func(e Edit) bool { return e.ID == editID })
	if i < 0 {
		return Edit{}, false
	}
	return h.History[i], true
}

// Covers reports whether the history holds every edit after the revision.
func (h Head) Covers(revision int64) bool {
	return h.Revision <= revision || (len(h.History) > 0 && h.History[0].Revision <= revision+1)
}

// Next returns the head of an edit made from h, and all pages of it.
func (h Head) Next(edit Edit, docs Documents) (Head, Pages) {
	pages := Pages{}
	next := Head{Edit: edit, Parent: h.ID}
	next.Revision = h.Revision + 1
	next.Customers = pages.split(docs.Customers)
	next.Plans = pages.split(docs.Plans)
	next.History = append(slices.Clone(h.History), next.Edit)
	next.History = next.History[max(0, len(next.History)-historySize):]
	next.Retired = h.retire(next.Revision, pages)
	return next, pages
}

// retire returns the retired pages of the next revision: those of h that it no longer
// uses, and the earlier ones that it does not use again.
func (h Head) retire(revision int64, used Pages) []Retired {
	var retired []Retired
	seen := map[Hash]bool{}
	add := func(r Retired) {
		if _, again := used[r.Hash]; !again && !seen[r.Hash] {
			seen[r.Hash] = true
			retired = append(retired, r)
		}
	}
	for _, r := range h.Retired {
		add(r)
	}
	for _, hash := range h.Hashes() {
		add(Retired{Hash: hash, Revision: revision})
	}
	return retired
}

// Expired removes at most limit pages from the retired ones that no reader needs any
// more and returns them. They are deleted by the write that replaces the head.
func (h *Head) Expired(limit int) []Hash {
	var expired []Hash
	h.Retired = slices.DeleteFunc(h.Retired, func(r Retired) bool {
		old := r.Revision+KeptRevisions <= h.Revision && len(expired) < limit
		if old {
			expired = append(expired, r.Hash)
		}
		return old
	})
	return expired
}
