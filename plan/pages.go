package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Pages end at a line whose hash ends in pageMask zero bits, so that an edit changes
// only the pages around it and the others keep their hashes. Smaller pages make the
// head longer, larger ones make each edit's transfer longer; with 10,000 customers
// the sum of both is least near 6 KB.
const (
	pageMin  = 1 << 10  // bytes before a page may end
	pageMax  = 64 << 10 // bytes at which a page ends even within a line
	pageMask = 1<<6 - 1 // one line in 64 ends a page; a line is about 90 bytes
)

// hashSize is how many bytes of a SHA-256 sum name a page.
const hashSize = 16

// ErrPageMissing says that a page is not among those that were read.
var ErrPageMissing = errors.New("plan: page is missing")

// Hash names a page by its content.
type Hash string

// HashOf returns the name of a page.
func HashOf(page []byte) Hash {
	sum := sha256.Sum256(page)
	return Hash(base64.RawURLEncoding.EncodeToString(sum[:hashSize]))
}

// Pages are pages by their names.
type Pages map[Hash][]byte

// split cuts a text into pages, adds them to p and returns their names in order.
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

// join puts a text together and checks every page against its name.
func (p Pages) join(hashes []Hash) ([]byte, error) {
	var text []byte
	for _, hash := range hashes {
		page, ok := p[hash]
		if !ok {
			return nil, errors.Wrapf(ErrPageMissing, "page %s", hash)
		}
		if HashOf(page) != hash {
			return nil, errors.Newf("plan: page %s has other content than its name says", hash)
		}
		text = append(text, page...)
	}
	return text, nil
}
