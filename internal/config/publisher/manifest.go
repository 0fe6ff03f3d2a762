package publisher

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/config/parser"
	"samphireturn/internal/config/validator"
)

// Names of objects.
const (
	// ManifestName is the name of the object that holds the manifest in force.
	ManifestName = "config/manifest"
	// PartPrefix begins the names of parts; the hash of the content follows.
	PartPrefix = "config/part/"
)

type (
	// Part is one file of a configuration under the hash of its content.
	Part struct {
		Name string `json:"name"`
		Hash string `json:"hash"`
	}

	// Previous describes the manifest that another one replaced.
	Previous struct {
		Generation uint64 `json:"generation"`
		// Hash is the hash of the manifest's object.
		Hash  string `json:"hash"`
		Parts []Part `json:"parts"`
	}

	// Manifest lists the parts of one accepted configuration.
	Manifest struct {
		Generation uint64    `json:"generation"`
		Author     string    `json:"author"`
		Time       time.Time `json:"time"`
		Note       string    `json:"note"`
		Previous   Previous  `json:"previous"`
		Parts      []Part    `json:"parts"`

		// version and digest belong to the object that the manifest was read from or
		// written to.
		version uint64
		digest  string
	}
)

// Hash returns the SHA-256 hash of data in hexadecimal.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Version returns the version of the object that m was read from or written to.
func (m Manifest) Version() uint64 { return m.version }

// Digest returns the hash of the object that m was read from, or "" if m was not
// read from one.
func (m Manifest) Digest() string { return m.digest }

// Decode decodes and checks the content of a manifest's object.
func Decode(data []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return m, &Error{Op: "decode " + ManifestName, Kind: samphireturn.KindInvalid, Err: err}
	}
	if m.Generation == 0 || len(m.Parts) == 0 {
		return m, &Error{Op: "decode " + ManifestName, Kind: samphireturn.KindInvalid, Err: errors.New("no generation or no parts")}
	}
	return m, nil
}

// Changes describes, one line for each file, how the files of m differ from those
// of the manifest before it.
func (m Manifest) Changes() []string {
	old := make(map[string]string)
	for _, p := range m.Previous.Parts {
		old[p.Name] = p.Hash
	}
	var lines []string
	for _, p := range m.Parts {
		switch h, ok := old[p.Name]; {
		case !ok:
			lines = append(lines, "added "+p.Name)
		case h != p.Hash:
			lines = append(lines, "changed "+p.Name)
		}
		delete(old, p.Name)
	}
	for _, p := range m.Previous.Parts {
		if _, ok := old[p.Name]; ok {
			lines = append(lines, "removed "+p.Name)
		}
	}
	return lines
}

// references reports whether m or the manifest before it lists a part with the hash.
func (m Manifest) references(hash string) bool {
	match := func(p Part) bool { return p.Hash == hash }
	return slices.ContainsFunc(m.Parts, match) || slices.ContainsFunc(m.Previous.Parts, match)
}

// Assemble validates the parts of m, given by hash, and returns the configuration
// that they form.
func Assemble(m Manifest, parts map[string][]byte) (*samphireturn.Config, error) {
	op := fmt.Sprintf("assemble generation %d", m.Generation)
	files := make([]parser.File, len(m.Parts))
	for i, p := range m.Parts {
		data, ok := parts[p.Hash]
		if !ok {
			return nil, &Error{Op: op, Kind: samphireturn.KindMissing, Err: errors.Errorf("part %s of %s", p.Hash, p.Name)}
		}
		if Hash(data) != p.Hash {
			return nil, &Error{Op: op, Kind: samphireturn.KindInvalid, Err: errors.Errorf("part %s of %s has another content", p.Hash, p.Name)}
		}
		files[i] = parser.File{Name: p.Name, Data: data}
	}
	cfg, err := Check(files)
	if err != nil {
		return nil, &Error{Op: op, Kind: samphireturn.KindInvalid, Err: err}
	}
	cfg.Generation = m.Generation
	return cfg, nil
}

// Check parses and validates files. An error for faulty files holds a
// parser.Problems.
func Check(files []parser.File) (*samphireturn.Config, error) {
	cfg, positions, err := parser.ParseFiles(files)
	if err != nil {
		return nil, err
	}
	if problems := validator.Validate(cfg, positions); len(problems) > 0 {
		return nil, parser.Problems(problems)
	}
	return cfg, nil
}
