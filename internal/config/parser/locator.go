package parser

import (
	"fmt"
	"maps"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

type (
	// Position tells where in its file a key is set.
	Position struct {
		File string
		Line int
		// Start and End are the byte offsets of the value, unless it is a list or an
		// inline table.
		Start, End int
		// Inline is true for a key inside an inline table.
		Inline bool
	}

	// Positions holds the position of each key by its path, such as
	// "model[0].version[1].share".
	Positions map[string]Position

	// locator records the positions of keys across several files.
	locator struct {
		positions Positions
		// lengths holds the number of elements of each list so far.
		lengths map[string]int

		file  string
		lines []int
		p     unstable.Parser
	}
)

func newLocator() *locator {
	return &locator{positions: make(Positions), lengths: make(map[string]int)}
}

// At returns the position of key or, if it has none, that of the nearest enclosing
// table or list.
func (p Positions) At(key string) Position {
	for key != "" {
		if pos, ok := p[key]; ok {
			return pos
		}
		key = parentPath(key)
	}
	return Position{}
}

// parentPath removes the last name or index from a path.
func parentPath(key string) string {
	for i := len(key) - 1; i > 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}

// listLengths returns a copy of the lengths of the lists so far.
func (l *locator) listLengths() map[string]int { return maps.Clone(l.lengths) }

// locate records the position of every key of f, which must be valid TOML. It returns
// a problem for each table that another file has already.
func (l *locator) locate(f File) Problems {
	l.file = f.Name
	l.lines = nil
	for i, b := range f.Data {
		if b == '\n' {
			l.lines = append(l.lines, i)
		}
	}
	var problems Problems
	table := ""
	l.p.Reset(f.Data)
	for l.p.NextExpression() {
		e := l.p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			var problem *Problem
			table, problem = l.header(e)
			if problem != nil {
				problems = append(problems, *problem)
			}
		case unstable.KeyValue:
			l.keyValue(table, e, false)
		}
	}
	return problems
}

// header records the position of a table's header and returns the table's path.
func (l *locator) header(e *unstable.Node) (string, *Problem) {
	path := ""
	var last *unstable.Node
	for it := e.Key(); it.Next(); {
		path = l.lastElement(path)
		last = it.Node()
		path = joinPath(path, string(last.Data))
	}
	line := l.line(int(last.Raw.Offset))
	if e.Kind == unstable.ArrayTable {
		l.lengths[path]++
		path = l.lastElement(path)
		l.positions[path] = Position{File: l.file, Line: line}
		return path, nil
	}
	if old, ok := l.positions[path]; ok && old.File != l.file {
		return path, &Problem{File: l.file, Line: line, Key: path, Message: fmt.Sprintf("is already set at %s:%d", old.File, old.Line)}
	}
	path = l.lastElement(path)
	l.positions[path] = Position{File: l.file, Line: line}
	return path, nil
}

// lastElement appends the index of the latest element if path is a list.
func (l *locator) lastElement(path string) string {
	if n := l.lengths[path]; n > 0 {
		return fmt.Sprintf("%s[%d]", path, n-1)
	}
	return path
}

// keyValue records the position of a key and of the keys in its value.
func (l *locator) keyValue(table string, e *unstable.Node, inline bool) {
	path := table
	var line int
	for it := e.Key(); it.Next(); {
		k := it.Node()
		path = joinPath(path, string(k.Data))
		line = l.line(int(k.Raw.Offset))
	}
	l.value(path, line, e.Value(), inline)
}

// value records the position of a value and of the content of a list or an inline
// table.
func (l *locator) value(path string, line int, v *unstable.Node, inline bool) {
	pos := Position{File: l.file, Line: line, Inline: inline}
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				l.keyValue(path, it.Node(), true)
			}
		}
	case unstable.Array:
		l.list(path, line, v)
	default:
		r := v.Raw
		if r.Length == 0 && len(v.Data) > 0 {
			r = l.p.Range(v.Data)
		}
		pos.Start = int(r.Offset)
		pos.End = pos.Start + int(r.Length)
	}
	l.positions[path] = pos
}

// list records the positions of a list's elements.
func (l *locator) list(path string, line int, v *unstable.Node) {
	for it := v.Children(); it.Next(); {
		n := it.Node()
		if n.Kind == unstable.Comment {
			continue
		}
		if n.Raw.Length > 0 {
			line = l.line(int(n.Raw.Offset))
		}
		l.lengths[path]++
		l.value(l.lastElement(path), line, n, true)
	}
}

// line returns the number, from 1, of the line that holds the byte at offset.
func (l *locator) line(offset int) int { return sort.SearchInts(l.lines, offset) + 1 }

// joinPath appends a name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
