package generator

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstPrefix is the length in bytes of the shortest hashed prefix; each
	// further one is twice as long.
	firstPrefix = 256
	// maxEvents bounds the events that are kept for readers.
	maxEvents = 4096
)

// Event is one change of the prefix cache.
type Event struct {
	Seq uint64 `json:"seq"`
	// Kind is "hold" or "drop".
	Kind   string `json:"kind"`
	Prefix uint64 `json:"prefix"`

	at time.Time
}

// cache is a bounded prefix cache, the least recently used prefix going first.
type cache struct {
	limit  int
	order  *list.List
	items  map[uint64]*list.Element
	seq    uint64
	gap    uint64
	events []Event
}

// prefixes returns the hashes of the text's prefixes of 256, 512, 1024, ...
// bytes, the longest last.
func prefixes(text string) []uint64 {
	var hashes []uint64
	for n := firstPrefix; n <= len(text); n *= 2 {
		hashes = append(hashes, xxhash.Sum64String(text[:n]))
	}
	return hashes
}

// use returns the bytes of the longest prefix held, and holds all of them.
func (c *cache) use(hashes []uint64, now time.Time) int {
	held, n := 0, firstPrefix
	for _, h := range hashes {
		if e, ok := c.items[h]; ok {
			held = n
			c.order.MoveToFront(e)
		} else {
			c.hold(h, now)
		}
		n *= 2
	}
	return held
}

func (c *cache) hold(h uint64, now time.Time) {
	if c.limit <= 0 {
		return
	}
	if c.order == nil {
		c.order = list.New()
		c.items = make(map[uint64]*list.Element)
	}
	c.items[h] = c.order.PushFront(h)
	c.publish("hold", h, now)
	for c.order.Len() > c.limit {
		e := c.order.Back()
		old := c.order.Remove(e).(uint64)
		delete(c.items, old)
		c.publish("drop", old, now)
	}
}

// publish appends an event, but leaves out every gap-th.
func (c *cache) publish(kind string, h uint64, now time.Time) {
	c.seq++
	if c.gap > 0 && c.seq%c.gap == 0 {
		return
	}
	c.events = append(c.events, Event{Seq: c.seq, Kind: kind, Prefix: h, at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the events after seq that are not younger than limit, and the
// number of the last one that a reader has seen then.
func (c *cache) since(seq uint64, limit time.Time) (uint64, []Event) {
	shown, last := []Event{}, uint64(0)
	for _, e := range c.events {
		if e.at.After(limit) {
			break
		}
		last = e.Seq
		if e.Seq > seq {
			shown = append(shown, e)
		}
	}
	return last, shown
}
