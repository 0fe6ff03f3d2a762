package picker

import (
	"sync"
	"time"
)

const (
	// bucketSize is the number of entries in a bucket, and so the greatest
	// number of known endpoints of one prefix.
	bucketSize = 4
	// bucketCount is the number of buckets; a power of two.
	bucketCount = 1 << 12
	// lockCount is the number of locks; a power of two that divides bucketCount.
	lockCount = 64
	// defaultTTL is the time after which an entry expires.
	defaultTTL = 2 * time.Minute
	// minPrefixBytes is the length of the shortest prefix; each further one is
	// twice as long.
	minPrefixBytes = 256
	// maxPrefixes bounds the prefixes of a request that are looked up.
	maxPrefixes = 24
)

// entry says that an endpoint cached a prefix at addedAt.
type entry struct {
	prefix   uint64
	endpoint string
	// addedAt is in nanoseconds since 1970; zero marks a free entry.
	addedAt int64
}

type bucket [bucketSize]entry

// Prefixes is a bounded table of the prompt prefixes in the caches of endpoints. Its
// entries come from requests that this daemon sent and from cache events; both may be
// stale, so entries expire. The zero value works. It is safe for concurrent use.
type Prefixes struct {
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time
	// TTL is the time after which an entry expires; zero means two minutes.
	TTL time.Duration

	once    sync.Once
	locks   [lockCount]sync.RWMutex
	buckets []bucket
}

// Add records that the endpoint caches the prefixes. In a full bucket it replaces the
// oldest entry.
func (p *Prefixes) Add(endpoint string, prefixes ...uint64) {
	now := p.now()
	for _, h := range prefixes {
		b, lock := p.bucket(h)
		lock.Lock()
		slot := &b[0]
		for i := range b {
			e := &b[i]
			if e.prefix == h && e.endpoint == endpoint {
				slot = e
				break
			}
			if e.addedAt < slot.addedAt {
				slot = e
			}
		}
		*slot = entry{prefix: h, endpoint: endpoint, addedAt: now}
		lock.Unlock()
	}
}

// Remove records that the endpoint no longer caches the prefix.
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

// RemoveEndpoint removes all entries of an endpoint, as after its restart.
func (p *Prefixes) RemoveEndpoint(endpoint string) {
	p.once.Do(p.init)
	for i := range p.buckets {
		lock := &p.locks[i%lockCount]
		lock.Lock()
		for j := range p.buckets[i] {
			if p.buckets[i][j].endpoint == endpoint {
				p.buckets[i][j] = entry{}
			}
		}
		lock.Unlock()
	}
}

// Endpoints stores the ids of the endpoints known to cache the prefix in ids and
// returns their number.
func (p *Prefixes) Endpoints(prefix uint64, ids *[bucketSize]string) int {
	cutoff := p.cutoff()
	b, lock := p.bucket(prefix)
	lock.RLock()
	defer lock.RUnlock()
	n := 0
	for i := range b {
		if e := &b[i]; e.prefix == prefix && e.addedAt > cutoff {
			ids[n] = e.endpoint
			n++
		}
	}
	return n
}

// CachedBytes returns the length in bytes of the longest of the prefixes that the
// endpoint is known to cache. The prefixes are in ascending order of length.
func (p *Prefixes) CachedBytes(endpoint string, prefixes []uint64) int {
	if len(prefixes) == 0 {
		return 0
	}
	cutoff := p.cutoff()
	for i := min(len(prefixes), maxPrefixes) - 1; i >= 0; i-- {
		if p.contains(endpoint, prefixes[i], cutoff) {
			return minPrefixBytes << i
		}
	}
	return 0
}

func (p *Prefixes) contains(endpoint string, prefix uint64, cutoff int64) bool {
	b, lock := p.bucket(prefix)
	lock.RLock()
	defer lock.RUnlock()
	for i := range b {
		if e := &b[i]; e.prefix == prefix && e.addedAt > cutoff && e.endpoint == endpoint {
			return true
		}
	}
	return false
}

// bucket returns the bucket of a prefix and the lock that guards it.
func (p *Prefixes) bucket(prefix uint64) (*bucket, *sync.RWMutex) {
	p.once.Do(p.init)
	i := prefix % bucketCount
	return &p.buckets[i], &p.locks[i%lockCount]
}

func (p *Prefixes) init() { p.buckets = make([]bucket, bucketCount) }

func (p *Prefixes) now() int64 {
	if p.Now == nil {
		return time.Now().UnixNano()
	}
	return p.Now().UnixNano()
}

// cutoff returns the time at or before which entries have expired, in nanoseconds
// since 1970.
func (p *Prefixes) cutoff() int64 {
	ttl := p.TTL
	if ttl == 0 {
		ttl = defaultTTL
	}
	return p.now() - int64(ttl)
}
