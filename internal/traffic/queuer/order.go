package queuer

import (
	"math/bits"
	"time"
)

const (
	// maxRank is the last rank; greater ranks count as this one.
	maxRank = 9
	// promotedEvery is the number of placements of which one goes to a promoted rank: a
	// long surge of urgent requests leaves an eighth of the capacity to the others, and a
	// surge of others takes no more than that from urgent ones.
	promotedEvery = 8
	// promotionShare is the share of a request's bound after which its rank is promoted.
	promotionShare = 0.5
)

type (
	// order holds the waiting requests of one pool and decides which is next: the lowest
	// rank first, within a rank the team that has received least for its weight
	// (start-time fair queueing), within a team the highest priority, then the first to
	// arrive. While any request has waited for a share of its bound, some of the placements
	// go to the rank of the first of these; it doesn't precede others of its rank, since
	// most that wait long are of the team with the highest load. The next request is not
	// overtaken because it is large. An order is not safe for concurrent use and reads no
	// clock.
	order struct {
		levels [maxRank + 1]level
		// nonEmpty has a bit for each rank with requests.
		nonEmpty uint32
		// promotions holds the requests of all ranks but the first by the time of promotion.
		promotions heap[*waiter]
		count      int
		// placed counts the placements since a promoted rank last had one.
		placed int
		// turn is the request that is next because its rank was promoted.
		turn     *waiter
		sequence uint64
	}

	// level holds the requests of one rank.
	level struct {
		// cost is that of all its requests.
		cost  int64
		flows map[string]*flow
		// active holds the flows with requests, by finish tag.
		active heap[*flow]
		// virtualTime is the finish tag of the request placed last.
		virtualTime float64
	}

	// flow holds the waiting requests of one team in one rank.
	flow struct {
		team        string
		start       float64 // virtual time at which the team's next share begins
		first, last *waiter
		index       int // in level.active
	}

	// waiter is one waiting request.
	waiter struct {
		entry      Entry
		rank       int
		flow       *flow
		prev, next *waiter // within the flow
		sequence   uint64
		promoteAt  time.Time
		promotion  int // index in order.promotions, or -1
		// ready is signalled when the request is next and capacity may be free.
		ready chan struct{}
	}

	// heapItem is an item of a heap that knows its index there.
	heapItem[T any] interface {
		less(T) bool
		setIndex(int)
	}

	// heap is a binary heap.
	heap[T heapItem[T]] struct{ items []T }
)

var (
	_ heapItem[*waiter] = (*waiter)(nil)
	_ heapItem[*flow]   = (*flow)(nil)
)

func (w *waiter) less(other *waiter) bool { return w.promoteAt.Before(other.promoteAt) }
func (w *waiter) setIndex(i int)          { w.promotion = i }

// finish returns the virtual time at which the flow's first request has its share.
func (f *flow) finish() float64 { return f.start + f.first.tagLength() }

func (f *flow) less(other *flow) bool {
	a, b := f.finish(), other.finish()
	return a < b || a == b && f.first.sequence < other.first.sequence
}
func (f *flow) setIndex(i int) { f.index = i }

// tagLength returns the request's cost in virtual time.
func (w *waiter) tagLength() float64 {
	weight := w.entry.Weight
	if weight <= 0 {
		weight = 1
	}
	return float64(w.entry.Cost) / weight
}

// add adds a request that may wait for the duration bound.
func (o *order) add(e Entry, now time.Time, bound time.Duration) *waiter {
	rank := min(max(e.Rank, 0), maxRank)
	o.sequence++
	w := &waiter{entry: e, rank: rank, sequence: o.sequence, promotion: -1, ready: make(chan struct{}, 1)}
	o.count++
	o.enter(w)
	// Nothing has precedence over the first rank, whose teams are served in turns.
	if rank > 0 {
		w.promoteAt = now.Add(time.Duration(promotionShare * float64(bound)))
		o.promotions.push(w)
	}
	return w
}

// remove removes a request that leaves without being placed.
func (o *order) remove(w *waiter) {
	o.count--
	if w == o.turn {
		// The next promoted one would hold up the first rank too if it can't be placed.
		o.placed, o.turn = 0, nil
	}
	if w.promotion >= 0 {
		o.promotions.remove(w.promotion)
		w.promotion = -1
	}
	o.exit(w)
}

// place removes a request that was placed and charges its team.
func (o *order) place(w *waiter) {
	l, f := &o.levels[w.rank], w.flow
	f.start += w.tagLength()
	l.virtualTime = max(l.virtualTime, f.start)
	if o.placed++; o.placed >= promotedEvery {
		o.placed = 0
	}
	o.remove(w)
}

// next returns the request that is to be placed next, or nil if none waits.
func (o *order) next(now time.Time) *waiter {
	if o.nonEmpty == 0 {
		return nil
	}
	rank := bits.TrailingZeros32(o.nonEmpty)
	o.turn = nil
	if o.placed == promotedEvery-1 && len(o.promotions.items) > 0 {
		if first := o.promotions.items[0]; !now.Before(first.promoteAt) {
			o.turn = o.levels[first.rank].active.items[0].first
			return o.turn
		}
	}
	return o.levels[rank].active.items[0].first
}

// costAhead returns the cost of the requests that go before a new one of a rank.
func (o *order) costAhead(rank int) int64 {
	cost := int64(0)
	for i := range min(max(rank, 0), maxRank) + 1 {
		cost += o.levels[i].cost
	}
	return cost
}

// enter adds a request to its rank, within its flow by priority and then by arrival.
func (o *order) enter(w *waiter) {
	l := &o.levels[w.rank]
	l.cost += w.entry.Cost
	if l.flows == nil {
		l.flows = make(map[string]*flow)
	}
	f := l.flows[w.entry.Team]
	isNew := f == nil
	if isNew {
		f = &flow{team: w.entry.Team, start: l.virtualTime}
		l.flows[f.team] = f
	}
	w.flow = f
	f.insert(w)
	if isNew {
		l.active.push(f)
	} else if f.first == w {
		l.active.fix(f.index)
	}
	o.nonEmpty |= 1 << w.rank
}

// exit removes a request from its rank.
func (o *order) exit(w *waiter) {
	l, f := &o.levels[w.rank], w.flow
	l.cost -= w.entry.Cost
	f.delete(w)
	switch f.first {
	case nil:
		// The team's share has been reached by the virtual time, so nothing is to be kept.
		l.active.remove(f.index)
		delete(l.flows, f.team)
	default:
		l.active.fix(f.index)
	}
	if len(l.active.items) == 0 {
		o.nonEmpty &^= 1 << w.rank
		l.virtualTime = 0
	}
}

// insert adds a request behind those of the same or a higher priority.
func (f *flow) insert(w *waiter) {
	after := f.last
	for after != nil && after.entry.Priority < w.entry.Priority {
		after = after.prev
	}
	w.prev = after
	if after == nil {
		w.next, f.first = f.first, w
	} else {
		w.next, after.next = after.next, w
	}
	if w.next == nil {
		f.last = w
	} else {
		w.next.prev = w
	}
}

func (f *flow) delete(w *waiter) {
	if w.prev == nil {
		f.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		f.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	item.setIndex(len(h.items) - 1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
}

// fix restores the order after the item at an index has changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].setIndex(i)
	h.items[j].setIndex(j)
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].less(h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves an item down and reports whether it moved.
func (h *heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.items[child+1].less(h.items[child]) {
			child++
		}
		if !h.items[child].less(h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
