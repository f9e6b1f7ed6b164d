package member

import (
	"encoding/binary"
	"sort"

	"github.com/cockroachdb/errors"
)

// The name hashes form a tree. A part is the range of hashes with a common prefix and has
// 16 children. With a single level of 256 parts, each would hold 208 records at 53,300
// processes, so one differing record would cost 25 KB in each direction.
const (
	digestBits  = 4
	digestWidth = 1 << digestBits
	maxDepth    = 4
	// leafRecords is the largest number of records in a differing part that are
	// sent directly instead of the hashes of its children: two records are about
	// as large as two digests.
	leafRecords = 2
	// maxRecords limits the records in one message of an exchange. The others
	// follow in later exchanges.
	maxRecords = 256
)

// ErrDigest is returned when an encoded digest has the wrong length.
var ErrDigest = errors.New("member: malformed digest")

// Digest holds one hash for each of the 16 children of a part of a table.
type Digest struct {
	Part uint32 // depth in the upper 16 bits, index in the lower 16; 0 is the whole table
	Sums [digestWidth]uint32
}

const digestSize = 4 + 4*digestWidth

// MarshalBinary encodes the digest with a fixed length.
func (d Digest) MarshalBinary() ([]byte, error) {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, digestSize), d.Part)
	for _, s := range d.Sums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	return b, nil
}

// UnmarshalBinary decodes a digest. It returns ErrDigest if the length is wrong.
func (d *Digest) UnmarshalBinary(b []byte) error {
	if len(b) != digestSize {
		return ErrDigest
	}
	d.Part = binary.BigEndian.Uint32(b)
	for i := range d.Sums {
		d.Sums[i] = binary.BigEndian.Uint32(b[4+4*i:])
	}
	return nil
}

func partDepth(part uint32) uint32 { return part >> 16 }

func validPart(part uint32) bool {
	depth, index := partDepth(part), part&0xffff
	return depth <= maxDepth && uint64(index) < uint64(1)<<(digestBits*depth)
}

func childPart(part uint32, i int) uint32 {
	return (partDepth(part)+1)<<16 | (part&0xffff)<<digestBits&0xffff | uint32(i)
}

// partRange returns the lowest and highest name hash of a part.
func partRange(part uint32) (low, high uint64) {
	shift := 64 - digestBits*partDepth(part)
	if shift == 64 {
		return 0, ^uint64(0)
	}
	low = uint64(part&0xffff) << shift
	return low, low | (uint64(1)<<shift - 1)
}

// Digest returns the digest of the whole table.
func (t *Table) Digest() Digest { return t.root }

// Delta returns the records of the parts that differ from d, ordered by name hash. It is
// used only in tests; exchanges between balancers compare digests with Node.descend.
func (t *Table) Delta(d Digest) []Record {
	if !validPart(d.Part) || partDepth(d.Part) == maxDepth {
		return nil
	}
	own := t.digest(d.Part)
	var out []Record
	for i := range own.Sums {
		if own.Sums[i] != d.Sums[i] {
			out = appendRecords(out, t.part(childPart(d.Part, i)))
		}
	}
	return out
}

func appendRecords(out []Record, entries []*entry) []Record {
	for _, e := range entries {
		out = append(out, e.record)
	}
	return out
}

func (t *Table) digest(part uint32) Digest {
	if part == 0 {
		return t.root
	}
	d := Digest{Part: part}
	shift := 64 - digestBits*(partDepth(part)+1)
	for _, e := range t.part(part) {
		d.Sums[e.nameHash>>shift&(digestWidth-1)] ^= uint32(e.sum)
	}
	return d
}

// part returns the entries of a part, ordered by name hash.
func (t *Table) part(part uint32) []*entry {
	t.sortEntries()
	low, high := partRange(part)
	from := sort.Search(len(t.order), func(i int) bool { return t.order[i].nameHash >= low })
	n := sort.Search(len(t.order)-from, func(i int) bool { return t.order[from+i].nameHash > high })
	return t.order[from : from+n]
}
