package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"samphireturn/internal/config/publisher"
)

// baseFile is the name of the file beside configuration files that holds, for each
// platform, the generation that they are based on.
const baseFile = ".samphire-base.json"

// baseGenerations maps the platforms' base URLs to generations.
type baseGenerations map[string]uint64

// readBases returns the content of dir's base file, or an empty map if there is no
// valid one.
func readBases(dir string) baseGenerations {
	b := make(baseGenerations)
	data, err := os.ReadFile(filepath.Join(dir, baseFile))
	if err != nil || json.Unmarshal(data, &b) != nil {
		return make(baseGenerations)
	}
	return b
}

// baseGeneration returns the generation that the files of dir are based on, or
// publisher.NoBase.
func (c *client) baseGeneration(dir string) uint64 {
	if g := readBases(dir)[c.Platform]; g != 0 {
		return g
	}
	return publisher.NoBase
}

// recordBase records in dir's base file that the files of dir are those of a generation.
// A failure is printed, not returned.
func (c *client) recordBase(dir string, generation uint64) {
	b := readBases(dir)
	b[c.Platform] = generation
	data, err := json.MarshalIndent(b, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, baseFile), append(data, '\n'), 0o644)
	}
	if err != nil {
		fmt.Fprintf(c.err, "samphirectl: the generation is not recorded, give --base %d with the next change: %v\n", generation, err)
	}
}

// saveFiles writes the files of a generation into dir and records the generation.
func (c *client) saveFiles(dir string, m publisher.Manifest, f files) error {
	for _, part := range m.Parts {
		path := filepath.Join(dir, filepath.Base(part.Name))
		if err := os.WriteFile(path, f[part.Name], 0o600); err != nil {
			return &Error{Op: "show", Code: exitFailed, Err: err}
		}
	}
	c.recordBase(dir, m.Generation)
	return nil
}
