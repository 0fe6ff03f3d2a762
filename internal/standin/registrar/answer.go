package registrar

import (
	"bytes"
	"encoding/json"
	"fmt"
)

type (
	// listAnswer is the answer to a list, and watchAnswer that to a watch.
	listAnswer struct {
		items    []json.RawMessage
		more     bool
		revision uint64
	}

	watchAnswer struct {
		events   []event
		revision uint64
	}
)

// encode returns an answer's body. Objects are written as they are: the encoder refuses those
// that are nested deeply, which other writers may have stored.
func encode(body any) ([]byte, error) {
	switch a := body.(type) {
	case listAnswer:
		var b bytes.Buffer
		fmt.Fprintf(&b, `{"items":[%s],"morePages":%t,"storeRevision":%d}`, bytes.Join(rawBytes(a.items), []byte(",")), a.more, a.revision)
		return b.Bytes(), nil
	case watchAnswer:
		var b bytes.Buffer
		b.WriteString(`{"events":[`)
		for i, e := range a.events {
			if i > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"object":%s,"deleted":%t}`, e.Object, e.Deleted)
		}
		fmt.Fprintf(&b, `],"storeRevision":%d}`, a.revision)
		return b.Bytes(), nil
	}
	return json.Marshal(body)
}

func rawBytes(items []json.RawMessage) [][]byte {
	all := make([][]byte, len(items))
	for i, item := range items {
		all[i] = item
	}
	return all
}
