package follower

import (
	"bytes"
	"compress/flate"
	"io"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

const (
	// maxRemoved bounds the removals of a topic that are remembered. A daemon that lacks
	// older ones gets all entries.
	maxRemoved = 4096
	// maxPacked bounds the packed changes of a topic that are kept for other pollers,
	// most of which ask for the same.
	maxPacked = 4
	// minCompressedBytes is the size from which changes are compressed.
	minCompressedBytes = 4 << 10
	// maxUnpackedBytes bounds what packed changes may unpack to: those of 12,000 endpoints
	// or of a table of tens of thousands of routes are a few megabytes.
	maxUnpackedBytes = 64 << 20

	// formatPlain and formatDeflate are the first byte of packed changes.
	formatPlain   = 0
	formatDeflate = 1
)

type (
	// changeSet is what a daemon lacks of a topic.
	changeSet struct {
		// Complete is true if Entries holds all entries, and false if it holds those that
		// changed.
		Complete bool                 `cbor:"1,keyasint,omitempty"`
		Entries  []samphireturn.Entry `cbor:"2,keyasint,omitempty"`
		// Removed holds the names of the entries that were removed.
		Removed []string `cbor:"3,keyasint,omitempty"`
	}

	// packedChanges are the packed changes of a topic from one version to another.
	packedChanges struct {
		since, version samphireturn.Revision
		data           []byte
	}
)

// all returns the changes as a watch would.
func (c *changeSet) all() []samphireturn.Entry {
	entries := c.Entries
	for _, name := range c.Removed {
		entries = append(entries, samphireturn.Entry{Name: name, Deleted: true})
	}
	return entries
}

// changesSince returns what a daemon lacks that has all up to a version. Entries that are
// kept over an outage are not passed on.
func (t *topic) changesSince(version samphireturn.Revision) changeSet {
	changes := changeSet{Complete: version == samphireturn.Revision{} || t.completeFrom.Newer(version)}
	for name, e := range t.entries {
		if _, missing := t.missingSince[name]; missing {
			continue
		}
		if changes.Complete || e.Version.Newer(version) {
			changes.Entries = append(changes.Entries, e)
		}
	}
	if changes.Complete {
		return changes
	}
	for name, removed := range t.removed {
		if removed.Newer(version) {
			changes.Removed = append(changes.Removed, name)
		}
	}
	return changes
}

// noteRemoved remembers that an entry was removed at a version.
func (t *topic) noteRemoved(name string, version samphireturn.Revision) {
	if len(t.removed) >= maxRemoved {
		clear(t.removed)
		clear(t.lost)
		t.completeFrom = version
	}
	t.removed[name] = version
}

// packChanges returns the packed changes since a version.
func (t *topic) packChanges(since samphireturn.Revision) ([]byte, error) {
	if since.Era != t.version.Era {
		// All such pollers get all entries.
		since = samphireturn.Revision{}
	}
	for _, p := range t.packed {
		if p.since == since && p.version == t.version {
			return p.data, nil
		}
	}
	data, err := pack(t.changesSince(since))
	if err != nil {
		return nil, err
	}
	if len(t.packed) >= maxPacked {
		t.packed = t.packed[1:]
	}
	t.packed = append(t.packed, packedChanges{since: since, version: t.version, data: data})
	return data, nil
}

// pack encodes changes and compresses long ones: the routes of a table are much alike,
// and a link carries a table to many daemons at the same time.
func pack(changes changeSet) ([]byte, error) {
	data, err := encoder.Marshal(changes)
	if err != nil {
		return nil, err
	}
	if len(data) < minCompressedBytes {
		return append([]byte{formatPlain}, data...), nil
	}
	packed := bytes.NewBuffer([]byte{formatDeflate})
	w, err := flate.NewWriter(packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack decodes packed changes, which are not empty.
func unpack(packed []byte) (changeSet, error) {
	var changes changeSet
	data := packed[1:]
	if packed[0] == formatDeflate {
		r := flate.NewReader(bytes.NewReader(data))
		defer r.Close()
		var err error
		if data, err = io.ReadAll(io.LimitReader(r, maxUnpackedBytes)); err != nil {
			return changes, err
		}
	}
	return changes, encoder.Unmarshal(data, &changes)
}
