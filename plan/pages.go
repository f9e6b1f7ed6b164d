package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// A page ends after a line whose hash is 0 in the bits of pageMask. The boundaries thus
// depend on the content: an edit changes only the pages around it, and the others keep
// their hashes. Smaller pages make the head longer, larger ones lengthen the transfer of
// each edit. With 10,000 customers, the head and the pages of one edit are smallest
// together with pages of about 6 KB.
const (
	pageMin  = 1 << 10  // minimum size of a page in bytes, except the last
	pageMax  = 64 << 10 // maximum size of a page in bytes; a longer one is cut within a line
	pageMask = 1<<6 - 1 // one line in 64 ends a page; a line is about 90 bytes
)

// hashSize is the number of bytes of the SHA-256 sum that a Hash contains.
const hashSize = 16

// ErrPageMissing is returned if a page of a revision is not available.
var ErrPageMissing = errors.New("plan: page is missing")

// ErrTooLarge is returned if the pages of a revision make a list of more than maxListSize bytes.
var ErrTooLarge = errors.New("plan: list is too large")

// maxListSize is the maximum size of one list in bytes, 16 times that of 10,000 customers.
const maxListSize = 16 << 20

// Hash identifies a page by its content.
type Hash string

// HashOf returns the hash of a page.
func HashOf(page []byte) Hash {
	sum := sha256.Sum256(page)
	return Hash(base64.RawURLEncoding.EncodeToString(sum[:hashSize]))
}

// Pages maps hashes to the content of the pages.
type Pages map[Hash][]byte

// split divides a text into pages, adds them to p and returns their hashes in order.
func (p Pages) split(text []byte) []Hash {
	var hashes []Hash
	for len(text) > 0 {
		end := pageEnd(text)
		hash := HashOf(text[:end])
		p[hash] = bytes.Clone(text[:end])
		hashes = append(hashes, hash)
		text = text[end:]
	}
	return hashes
}

func pageEnd(text []byte) int {
	end := 0
	for end < min(len(text), pageMax) {
		line := bytes.IndexByte(text[end:], '\n') + 1
		if line == 0 {
			line = len(text) - end
		}
		start := end
		end += line
		if end >= pageMin && xxhash.Sum64(text[start:end])&pageMask == 0 {
			break
		}
	}
	return min(end, pageMax)
}

// join assembles a text from its pages and verifies the hash of every page. The error is
// ErrPageMissing, ErrTooLarge, or that of a page that does not match its hash.
func (p Pages) join(hashes []Hash) ([]byte, error) {
	var text []byte
	for _, hash := range hashes {
		page, ok := p[hash]
		if !ok {
			return nil, errors.Wrapf(ErrPageMissing, "page %s", hash)
		}
		if HashOf(page) != hash {
			return nil, errors.Newf("plan: content of page %s does not match its hash", hash)
		}
		if len(text)+len(page) > maxListSize {
			return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", maxListSize)
		}
		text = append(text, page...)
	}
	return text, nil
}
