package picker

import (
	"sync"
	"time"
)

const (
	// ways is the number of entries in a bucket, and so the greatest number of
	// known holders of one prefix.
	ways = 4
	// buckets is the number of buckets; a power of two.
	buckets = 1 << 12
	// shards is the number of locks; a power of two that divides buckets.
	shards = 64
	// defaultAge is the time after which an entry no longer counts.
	defaultAge = 2 * time.Minute
	// firstBlock is the length in bytes of the shortest prefix; each further
	// one is twice as long.
	firstBlock = 256
	// maxPrefixes bounds the prefixes of a request that count.
	maxPrefixes = 24
)

// entry says that an endpoint held a prefix at a time.
type entry struct {
	prefix   uint64
	endpoint string
	// seen is in nanoseconds since 1970; zero marks a free entry.
	seen int64
}

type bucket [ways]entry

// Prefixes is a bounded table of the prompt prefixes that endpoints hold in
// their caches. It is fed by what this daemon sent and by cache events, either
// of which may be stale, so entries age. The zero value works. It is safe for
// concurrent use.
type Prefixes struct {
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time
	// Age is the time after which an entry no longer counts; zero means two
	// minutes.
	Age time.Duration

	once    sync.Once
	locks   [shards]sync.RWMutex
	buckets []bucket
}

// Add records that the endpoint has the prefixes in its cache. Each replaces the
// oldest entry of its bucket if the bucket is full.
func (p *Prefixes) Add(endpoint string, prefixes ...uint64) {
	now := p.now()
	for _, h := range prefixes {
		b, lock := p.bucket(h)
		lock.Lock()
		oldest := &b[0]
		for i := range b {
			e := &b[i]
			if e.prefix == h && e.endpoint == endpoint {
				oldest = e
				break
			}
			if e.seen < oldest.seen {
				oldest = e
			}
		}
		*oldest = entry{prefix: h, endpoint: endpoint, seen: now}
		lock.Unlock()
	}
}

// Remove records that the endpoint no longer has the prefix in its cache.
func (p *Prefixes) Remove(endpoint string, prefix uint64) {
	b, lock := p.bucket(prefix)
	lock.Lock()
	defer lock.Unlock()
	for i := range b {
		if b[i].prefix == prefix && b[i].endpoint == endpoint {
			b[i] = entry{}
		}
	}
}

// Forget drops all that is known of an endpoint, as after its restart.
func (p *Prefixes) Forget(endpoint string) {
	p.once.Do(p.init)
	for i := range p.buckets {
		lock := &p.locks[i%shards]
		lock.Lock()
		for j := range p.buckets[i] {
			if p.buckets[i][j].endpoint == endpoint {
				p.buckets[i][j] = entry{}
			}
		}
		lock.Unlock()
	}
}

// Holders stores the endpoints known to hold the prefix in ids and returns
// their number.
func (p *Prefixes) Holders(prefix uint64, ids *[ways]string) int {
	oldest := p.oldest()
	b, lock := p.bucket(prefix)
	lock.RLock()
	defer lock.RUnlock()
	n := 0
	for i := range b {
		if e := &b[i]; e.prefix == prefix && e.seen > oldest {
			ids[n] = e.endpoint
			n++
		}
	}
	return n
}

// Held returns the length in bytes of the longest of the prefixes, in rising
// order of length, that the endpoint is known to hold.
func (p *Prefixes) Held(endpoint string, prefixes []uint64) int {
	if len(prefixes) == 0 {
		return 0
	}
	oldest := p.oldest()
	for i := min(len(prefixes), maxPrefixes) - 1; i >= 0; i-- {
		if p.holds(endpoint, prefixes[i], oldest) {
			return firstBlock << i
		}
	}
	return 0
}

func (p *Prefixes) holds(endpoint string, prefix uint64, oldest int64) bool {
	b, lock := p.bucket(prefix)
	lock.RLock()
	defer lock.RUnlock()
	for i := range b {
		if e := &b[i]; e.prefix == prefix && e.seen > oldest && e.endpoint == endpoint {
			return true
		}
	}
	return false
}

// bucket returns the bucket of a prefix and the lock that guards it.
func (p *Prefixes) bucket(prefix uint64) (*bucket, *sync.RWMutex) {
	p.once.Do(p.init)
	i := prefix % buckets
	return &p.buckets[i], &p.locks[i%shards]
}

func (p *Prefixes) init() { p.buckets = make([]bucket, buckets) }

func (p *Prefixes) now() int64 {
	if p.Now == nil {
		return time.Now().UnixNano()
	}
	return p.Now().UnixNano()
}

// oldest returns the time before which entries no longer count.
func (p *Prefixes) oldest() int64 {
	age := p.Age
	if age == 0 {
		age = defaultAge
	}
	return p.now() - int64(age)
}
