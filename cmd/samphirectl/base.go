package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"samphireturn/internal/config/publisher"
)

// baseFile stands beside configuration files and holds, for each platform, the
// generation that they were made from.
const baseFile = ".samphire-base.json"

// bases are generations by platform.
type bases map[string]uint64

// readBases returns what dir's base file holds; nothing if there is none.
func readBases(dir string) bases {
	b := make(bases)
	data, err := os.ReadFile(filepath.Join(dir, baseFile))
	if err != nil || json.Unmarshal(data, &b) != nil {
		return make(bases)
	}
	return b
}

// seen returns the generation that the files of dir were made from, or
// publisher.Unseen.
func (c *client) seen(dir string) uint64 {
	if g := readBases(dir)[c.Platform]; g != 0 {
		return g
	}
	return publisher.NoBase
}

// keep notes that the files of dir are those of a generation.
func (c *client) keep(dir string, generation uint64) {
	b := readBases(dir)
	b[c.Platform] = generation
	data, err := json.MarshalIndent(b, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, baseFile), append(data, '\n'), 0o644)
	}
	if err != nil {
		fmt.Fprintf(c.err, "samphirectl: the generation is not noted, give --base %d with the next change: %v\n", generation, err)
	}
}

// save writes the files of a generation into dir, to be edited there.
func (c *client) save(dir string, m publisher.Manifest, f files) error {
	for _, part := range m.Parts {
		path := filepath.Join(dir, filepath.Base(part.Name))
		if err := os.WriteFile(path, f[part.Name], 0o600); err != nil {
			return &Error{Op: "show", Code: exitFailed, Err: err}
		}
	}
	c.keep(dir, m.Generation)
	return nil
}
