package parser

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// checker compares a decoded tree with the type that it is decoded into.
type checker struct {
	file string
	// offsets holds the length of each list before this file, by path. It is added
	// to the indexes of the file's own elements.
	offsets   map[string]int
	positions Positions
	problems  Problems
}

// check reports unknown keys and values of a wrong type, in order of line.
func (c *checker) check(tree map[string]any, v any) {
	c.table("", tree, reflect.TypeOf(v).Elem())
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
}

func (c *checker) table(path string, tree map[string]any, t reflect.Type) {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("toml"); name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	for name, v := range tree {
		key := joinPath(path, name)
		t, ok := fields[name]
		if !ok {
			c.add(key, "unknown key")
			continue
		}
		c.value(key, v, t)
	}
}

func (c *checker) value(path string, v any, t reflect.Type) {
	ok := true
	switch t.Kind() {
	case reflect.Struct:
		var m map[string]any
		if m, ok = v.(map[string]any); ok {
			c.table(path, m, t)
		}
	case reflect.Slice:
		var s []any
		s, ok = v.([]any)
		for i, e := range s {
			c.value(fmt.Sprintf("%s[%d]", path, c.offsets[path]+i), e, t.Elem())
		}
	case reflect.String:
		_, ok = v.(string)
	case reflect.Bool:
		_, ok = v.(bool)
	case reflect.Float64:
		_, ok = v.(float64)
		if !ok {
			_, ok = v.(int64)
		}
	default:
		_, ok = v.(int64)
	}
	if !ok {
		c.add(path, fmt.Sprintf("must be %s, not %s", typeName(t), typeName(reflect.TypeOf(v))))
	}
}

func (c *checker) add(key, message string) {
	line := 0
	if pos := c.positions.At(key); pos.File == c.file {
		line = pos.Line
	}
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Key: key, Message: message})
}

// typeName describes a type in the terms of TOML.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		if strings.HasPrefix(t.String(), "toml.") || t.String() == "time.Time" {
			return "a date or time"
		}
		return "a table"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
