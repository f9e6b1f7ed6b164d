package plan

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/store"
)

// Store keys and key prefixes of the lists.
const (
	HeadKey        = "lists/head"
	PagePrefix     = "lists/page/"
	RevisionPrefix = "lists/revision/"
)

const (
	historySize = 100 // maximum number of edits in a head's history

	// KeptRevisions is the number of revisions before the current one that remain
	// readable, for readers that are still fetching them and for diffs shown to
	// operators.
	KeptRevisions = 20
)

// PageKey returns the store key of a page.
func PageKey(h Hash) string { return PagePrefix + string(h) }

// RevisionKey returns the store key under which the short head of a revision is kept.
func RevisionKey(revision int64) string { return RevisionPrefix + strconv.FormatInt(revision, 10) }

// Edit is one accepted edit.
type Edit struct {
	Revision int64     `json:"revision"`
	Era      store.Era `json:"era,omitempty"` // of the store, when it accepted the edit
	ID       string    `json:"edit_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
}

// Qualified returns the revision qualified with its era. A store that has returned from an older
// copy accepts other edits under revisions that it has lost; of two edits, the one of the higher
// qualified revision is in force.
func (e Edit) Qualified() int64 { return store.QualifyRevision(e.Era, e.Revision) }

// RevisionText formats a qualified revision for an operator.
func RevisionText(qualified int64) string {
	text := strconv.FormatInt(store.NumberOf(qualified), 10)
	if era := store.EraOf(qualified); era != 0 {
		text += fmt.Sprintf(" (era %d)", era)
	}
	return text
}

// Retired is a page that is not used from Revision on.
type Retired struct {
	Hash     Hash  `json:"hash"`
	Revision int64 `json:"revision"`
}

// Head is the value of HeadKey. It describes one revision of the lists and names the
// pages that they consist of.
type Head struct {
	Edit
	Parent    string    `json:"parent"` // ID of the edit that this one is based on
	Customers []Hash    `json:"customers"`
	Plans     []Hash    `json:"plans"`
	History   []Edit    `json:"history,omitempty"` // oldest first, including this edit
	Retired   []Retired `json:"retired,omitempty"`
}

// DecodeHead decodes a head that was read from the store or received from a peer.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, errors.Wrap(err, "plan: malformed head")
	}
	if h.Revision <= 0 || h.Revision > store.MaxRevisionNumber || h.ID == "" {
		return Head{}, errors.New("plan: malformed head: no valid revision or no edit ID")
	}
	if h.Era < 0 || h.Era > store.MaxEra {
		return Head{}, errors.Newf("plan: malformed head: era %d", h.Era)
	}
	return h, nil
}

// Encode returns the encoded head, as it is kept in the store.
func (h Head) Encode() []byte {
	value, err := json.Marshal(h)
	if err != nil {
		// Encoding fails only for a time whose year has more than four digits.
		panic(err)
	}
	return value
}

// Short returns the short head: without History and Retired, which only editors use.
func (h Head) Short() Head {
	h.History, h.Retired = nil, nil
	return h
}

// Hashes returns the hashes of all pages of the revision.
func (h Head) Hashes() []Hash {
	return append(slices.Clone(h.Customers), h.Plans...)
}

// Join assembles both lists from their pages.
func (h Head) Join(pages Pages) (Documents, error) {
	customers, err := pages.join(h.Customers)
	if err != nil {
		return Documents{}, err
	}
	plans, err := pages.join(h.Plans)
	return Documents{Customers: customers, Plans: plans}, err
}

// FindEdit returns the edit with the ID from the history. It returns false if the history
// does not contain it.
func (h Head) FindEdit(editID string) (Edit, bool) {
	i := slices.IndexFunc(h.History, func(e Edit) bool { return e.ID == editID })
	if i < 0 {
		return Edit{}, false
	}
	return h.History[i], true
}

// HistoryCovers reports whether the history contains every edit after the revision.
func (h Head) HistoryCovers(revision int64) bool {
	return h.Revision <= revision || (len(h.History) > 0 && h.History[0].Revision <= revision+1)
}

// Next returns the head that follows h after the edit, and all its pages.
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

// retire returns the retired pages of the next revision: the pages of h that it no longer
// uses, and the already retired ones that it does not use again.
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

// RemoveExpired removes from Retired at most limit pages that have not been used for
// KeptRevisions revisions. It returns their hashes, for the caller to delete the pages from
// the store in the transaction that replaces the head.
func (h *Head) RemoveExpired(limit int) []Hash {
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
