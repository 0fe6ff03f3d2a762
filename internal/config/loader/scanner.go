package loader

import (
	"reflect"

	"github.com/pelletier/go-toml/v2"
)

// scan returns a copy of base with every value of data that has the right
// type, so that the rest of a faulty file can be checked too.
func scan(data []byte, base *Settings) *Settings {
	s := *base
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return &s
	}
	fill(reflect.ValueOf(&s).Elem(), tree)
	return &s
}

// fill sets the fields of v from tree and skips values of a wrong type.
func fill(v reflect.Value, tree map[string]any) {
	for i := range v.NumField() {
		x, ok := tree[v.Type().Field(i).Tag.Get("toml")]
		if !ok {
			continue
		}
		f := v.Field(i)
		if m, ok := x.(map[string]any); ok && f.Kind() == reflect.Struct {
			fill(f, m)
			continue
		}
		if r := reflect.ValueOf(x); r.Type() == f.Type() {
			f.Set(r)
		}
	}
}
