package loader

import (
	"reflect"

	"github.com/pelletier/go-toml/v2"
)

// decodeLenient returns a copy of base with every value of data that has the right
// type, so that the rest of a faulty file can be checked too.
func decodeLenient(data []byte, base *Settings) *Settings {
	s := *base
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return &s
	}
	setFields(reflect.ValueOf(&s).Elem(), tree)
	return &s
}

// setFields sets the fields of v from tree and skips values of a wrong type.
func setFields(v reflect.Value, tree map[string]any) {
	for i := range v.NumField() {
		value, ok := tree[v.Type().Field(i).Tag.Get("toml")]
		if !ok {
			continue
		}
		f := v.Field(i)
		if table, ok := value.(map[string]any); ok && f.Kind() == reflect.Struct {
			setFields(f, table)
			continue
		}
		if r := reflect.ValueOf(value); r.Type() == f.Type() {
			f.Set(r)
		}
	}
}
