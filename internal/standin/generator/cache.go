package generator

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPrefixBytes is the length of the shortest hashed prefix; each further one
	// is twice as long.
	minPrefixBytes = 256
	// maxEvents bounds the events kept for GET /events.
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

// cache is a bounded prefix cache that evicts the least recently used prefix.
type cache struct {
	limit        int
	order        *list.List
	items        map[uint64]*list.Element
	seq          uint64
	dropEveryNth uint64
	events       []Event
}

// prefixes returns the hashes of the prompt's prefixes of 256, 512, 1024, ...
// bytes, the longest last.
func prefixes(prompt string) []uint64 {
	var hashes []uint64
	for n := minPrefixBytes; n <= len(prompt); n *= 2 {
		hashes = append(hashes, xxhash.Sum64String(prompt[:n]))
	}
	return hashes
}

// touch returns the length in bytes of the longest cached prefix, marks the cached
// ones as used and inserts the others.
func (c *cache) touch(hashes []uint64, now time.Time) int {
	cached, n := 0, minPrefixBytes
	for _, h := range hashes {
		if e, ok := c.items[h]; ok {
			cached = n
			c.order.MoveToFront(e)
		} else {
			c.insert(h, now)
		}
		n *= 2
	}
	return cached
}

func (c *cache) insert(h uint64, now time.Time) {
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

// publish appends an event, or drops it if its number is a multiple of
// dropEveryNth.
func (c *cache) publish(kind string, h uint64, now time.Time) {
	c.seq++
	if c.dropEveryNth > 0 && c.seq%c.dropEveryNth == 0 {
		return
	}
	c.events = append(c.events, Event{Seq: c.seq, Kind: kind, Prefix: h, at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the events after seq that happened at or before limit, and the number
// of the last event up to limit, for the reader's next call; 0 if there is none.
func (c *cache) since(seq uint64, limit time.Time) (uint64, []Event) {
	visible, last := []Event{}, uint64(0)
	for _, e := range c.events {
		if e.at.After(limit) {
			break
		}
		last = e.Seq
		if e.Seq > seq {
			visible = append(visible, e)
		}
	}
	return last, visible
}
