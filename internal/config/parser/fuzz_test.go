package parser_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/config/loader"
	"samphireturn/internal/config/parser"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/config/validator"
)

// FuzzParse checks that any two files give either a configuration, and the same one
// each time, or problems with a message, and that parsing never panics.
func FuzzParse(f *testing.F) {
	example, err := os.ReadFile("../../../examples/config.toml")
	qt.Assert(f, err, qt.IsNil)
	text := string(example)
	first, second, _ := strings.Cut(text, "[guard]")
	seeds := [][2]string{
		{text, ""},
		{first, "[guard]" + second},
		{text, text},
		{"", ""},
		{"foo = 1", "[[preset]]\nforce = 'yes'"},
		{"[[model]]\nname = 'a'\n[[model.version]]\nshare = 1e400", "model = 3"},
		{"[[team]]\nweight = nan", "[[team]]\nkeys = ['" + strings.Repeat("f", 64) + "']"},
		{"centre = [{name = 'n', out = true}]", "\xff\xfe"},
		{"a = [", strings.Repeat("[", 2000)},
	}
	for _, s := range seeds {
		f.Add(s[0], s[1])
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		files := []parser.File{{Name: "a.toml", Data: []byte(a)}, {Name: "b.toml", Data: []byte(b)}}
		cfg, positions, err := parser.ParseFiles(files)
		if err == nil {
			again, _, err := parser.ParseFiles(files)
			if err != nil || render(cfg) != render(again) {
				t.Fatalf("parsing the same files twice gives different results: %v", err)
			}
			for _, p := range validator.Validate(cfg, positions) {
				if p.Message == "" {
					t.Fatalf("problem without a message: %+v", p)
				}
			}
		}
		if _, err := publisher.Check(files); err != nil && err.Error() == "" {
			t.Fatal("error without a message")
		}
	})
}

// FuzzSettings checks that any settings file gives either valid settings or an error,
// and that reading never panics.
func FuzzSettings(f *testing.F) {
	for _, s := range []string{
		"id = 'n1'\ncentre = 'north'\nlisten = '127.0.0.1:1'\npeer = '127.0.0.1:2'\nplatform = 'http://h'\nfleet = 'sixteen bytes ok'\n",
		"[limits]\nnotice = -1", "id = 3", "limits = 4", "", "\xff", "[limits]\nheader = 99999999999999999999",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := loader.Read("settings.toml", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
		if s != nil && (s.ID == "" || s.Limits.ShutdownDelayMs < 0 || s.Limits.DrainTimeoutMs <= 0) {
			t.Fatalf("invalid settings were accepted: %+v", s)
		}
	})
}

// render formats a configuration, so that NaN equals itself.
func render(v any) string { return fmt.Sprintf("%+v", reflect.Indirect(reflect.ValueOf(v))) }
