package samphireturn

import "cmp"

// Revision dates an entry or the state of a topic at a Source. Its number grows within an
// era. A source that comes back from an older copy begins a new era, in which it may give
// out numbers again, so those of two eras have no order.
type Revision struct {
	_ struct{} `cbor:",toarray"`
	// Era is zero at a source that has no eras.
	Era, Number uint64
}

// Compare returns a negative number if r is older than o, a positive one if it is newer,
// and zero if they are equal. All revisions of an older era are older.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Newer reports whether r is newer than o.
func (r Revision) Newer(o Revision) bool { return r.Compare(o) > 0 }
