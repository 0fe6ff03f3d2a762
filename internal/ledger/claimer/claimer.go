// Package claimer grants a caller's Idempotency-Key to at most one run.
//
// A key belongs to a shard. Claims of a shard go through its home, which commits
// them in batches, so that the platform's writes grow with shards and time and
// not with requests. The home is a hint: any daemon can commit, and two that
// both think they are home do no harm, because a claim counts only once a
// conditional write has put it into the shard's log.
//
// The log of a shard is a chain of objects, claims/<shard>/<number>, its
// windows. Only the last window takes records, by update of the version that
// the writer has read together with all windows before it. A full or old window
// is sealed in its last update and the next number is then created. A writer
// that has missed anything, a record, a seal or a new window, is refused by the
// condition, reads the log anew and decides again. So the grants of a shard are
// in one order, whoever makes them. One object a shard would do the same, but
// would be written whole for each batch and never be rid of its past; windows
// named by time would let two clocks grant the same key in two windows.
//
// Each attempt to claim has a nonce of its own, drawn where the request is to
// run. A lost answer is settled by reading back which nonces are there. If that
// fails too, the caller is told that the claim is unavailable; the record may
// be in the log, and then whoever comes later finds an earlier claim whose run
// is unknown. It is never granted to another run. The same attempt sent again,
// by the home or around it, finds its own nonce and is granted.
//
// A granted claim whose request did not run is released by a record with its
// nonce; the key can then be claimed anew. The nonce never claims again, so an
// attempt that is still on its way changes nothing. An attempt whose caller was
// told that the claim is unavailable is released in the same way, whether or not
// it is in the log yet: a write that is still under way when the release is
// written then fails its condition. Until the release is written whoever comes
// finds the key unknown.
//
// A claim is forgotten only Slack after its expiry, for clocks that differ; a
// sealed window is removed once all its claims are. The last window always
// stays, so that a number is never used again.
package claimer

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
)

const (
	// Prefix begins the names of the windows.
	Prefix = "claims/"
	// TopicClaim carries an attempt to the home of its shard.
	TopicClaim = "claim"
	// TopicFinish carries an outcome to the home of its shard.
	TopicFinish = "claim.finish"

	// DefaultShards is the number of shards of the fleet.
	DefaultShards = 16
	// DefaultGather is the time that a batch waits for more.
	DefaultGather = 20 * time.Millisecond
	// DefaultSpacing is the least time between two batches of a shard.
	DefaultSpacing = 100 * time.Millisecond
	// DefaultFinish is the longest time that an outcome waits for a batch.
	DefaultFinish = time.Second
	// DefaultWait bounds one peer call and the commit of one batch.
	DefaultWait = 2 * time.Second
	// DefaultSlack is the time past its expiry that a claim is kept.
	DefaultSlack = time.Minute
	// DefaultWindowAge is the age at which a window is sealed.
	DefaultWindowAge = 10 * time.Minute
	// DefaultWindowSize is the size, in bytes, at which a window is sealed.
	DefaultWindowSize = 128 << 10
	// DefaultLimit bounds the claims kept for one shard.
	DefaultLimit = 10_000
	// DefaultBatch bounds the attempts and outcomes waiting in one shard, each.
	DefaultBatch = 256
	// MaxLife is the longest life of a claim.
	MaxLife = 24 * time.Hour
	// MaxKey is the longest key, in bytes.
	MaxKey = 256
	// MaxSummary is the longest summary that is kept, in bytes.
	MaxSummary = 256
)

// States of a claim.
const (
	// StateUnknown says that an earlier holder may or may not have run it, or
	// still runs it.
	StateUnknown State = iota
	// StateDone says that an earlier run ended with the outcome.
	StateDone
)

// State is what is known of an earlier claim.
type State int

// Claim is the answer to an attempt.
type Claim struct {
	// Granted is true if the caller, and nobody else ever, may run the request.
	Granted bool
	// State and Outcome are those of the earlier claim if not Granted.
	State   State
	Outcome Outcome

	record record
	shard  string
}

// Outcome is what is kept of a run.
type Outcome struct {
	// Status is the HTTP status of the answer.
	Status int `cbor:"c"`
	// Summary is kept up to MaxSummary bytes, or not at all.
	Summary []byte `cbor:"s,omitempty"`
}

// Claimer is the service that grants claims. Set the exported fields before
// Register and Run.
type Claimer struct {
	Store samphireturn.Store
	Peers samphireturn.Peers
	// Self is this daemon's id among the peers.
	Self string
	// Home returns the id of the daemon that is home of a shard; nil or an empty
	// answer means this one.
	Home func(shard string) string
	Log  zerolog.Logger
	// Now tells the time; nil means time.Now.
	Now func() time.Time
	// Rand is the source of nonces; nil means crypto/rand.
	Rand io.Reader
	// Shards is the same in every daemon. Times, sizes and counts that are zero
	// mean the default.
	Shards                  int
	Gather, Finishing, Wait time.Duration
	// Spacing is the least time between two batches of a shard.
	Spacing          time.Duration
	Slack, WindowAge time.Duration
	WindowSize       int
	Limit, Batch     int

	mu     sync.Mutex
	closed bool
	shards map[string]*shard
	tasks  sync.WaitGroup
}

// Register registers the handlers of the claimer's topics. It must be called
// before the peers run.
func (c *Claimer) Register() {
	c.Peers.Handle(TopicClaim, c.takeClaim)
	c.Peers.Handle(TopicFinish, c.takeFinish)
}

// Run checks the fields; the work is started by claims.
func (c *Claimer) Run(context.Context) error {
	if c.Store == nil || c.Peers == nil || c.Self == "" {
		return &Error{Op: "run claimer", Kind: KindInvalid}
	}
	return nil
}

// Close takes no more claims and waits until what waits is committed or given
// up.
func (c *Claimer) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.tasks.Wait()
	return nil
}

// Claim tries to claim the team's key for a request before it is sent.
// Digest is the hash of the request's method, path and body. Life is cut to
// MaxLife. With any error the caller must not run the request.
func (c *Claimer) Claim(ctx context.Context, team, key string, digest [32]byte, life time.Duration) (Claim, error) {
	op := "claim for " + team
	if key == "" || len(key) > MaxKey || life <= 0 {
		return Claim{}, refuse(op, KindInvalid, nil)
	}
	r := record{
		Key:     hash(team, key),
		Print:   digest,
		Expires: c.now().Add(min(life, MaxLife)).Unix(),
	}
	if err := c.nonce(&r.Nonce); err != nil {
		return Claim{}, refuse(op, KindUnavailable, err)
	}
	name := c.shardOf(r.Key)
	a, doubt, err := c.attempt(ctx, name, r)
	if doubt && err != nil {
		c.abandon(name, r)
	}
	if err != nil {
		return Claim{}, err
	}
	if a.Print != digest {
		return Claim{}, refuse(op, KindMismatch, nil)
	}
	if a.Nonce == r.Nonce {
		counters.Add("granted", 1)
		return Claim{Granted: true, record: r, shard: name}, nil
	}
	counters.Add("taken", 1)
	claim := Claim{Outcome: a.Outcome}
	if a.Done {
		claim.State = StateDone
	}
	return claim, nil
}

// Finish stores the outcome of a granted claim with a later batch. It is best
// effort: without it the claim's state stays unknown.
func (c *Claimer) Finish(ctx context.Context, claim Claim, o Outcome) error {
	if !claim.Granted {
		return refuse("finish", KindInvalid, nil)
	}
	if len(o.Summary) > MaxSummary {
		o.Summary = nil
	}
	r := claim.record
	r.Done, r.Outcome = true, o
	return c.end(ctx, claim.shard, r)
}

// Release gives up a granted claim whose request has not run and will not run,
// so that another attempt may claim the key. It returns once the log has it, or
// with an error if that takes too long; the release then waits for the platform
// and the key's state stays unknown until then.
func (c *Claimer) Release(ctx context.Context, claim Claim) error {
	if !claim.Granted {
		return refuse("release", KindInvalid, nil)
	}
	counters.Add("released", 1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*cmp.Or(c.Wait, DefaultWait))
	defer cancel()
	r := claim.record
	r.Freed = true
	return c.end(ctx, claim.shard, r)
}

// abandon releases an attempt whose caller was told that it failed, for the case
// that it is in the log or comes there. It does not wait.
func (c *Claimer) abandon(name string, r record) {
	counters.Add("abandoned", 1)
	r.Freed = true
	if err := c.enqueue(name, nil, &ending{record: r, done: make(chan struct{})}); err != nil {
		c.Log.Warn().Err(err).Str("shard", name).Msg("abandoned claim not released")
	}
}

// end brings an outcome or a release to the shard's home, or keeps it here if
// the home can't be reached.
func (c *Claimer) end(ctx context.Context, name string, r record) error {
	if home := c.home(name); home != c.Self && slices.Contains(c.Peers.Connected(), home) {
		call, cancel := context.WithTimeout(ctx, cmp.Or(c.Wait, DefaultWait))
		defer cancel()
		if c.Peers.Call(call, home, TopicFinish, r, nil) == nil {
			return nil
		}
		retries.Add("home not reached", 1)
	}
	return c.finish(ctx, name, r)
}

func (c *Claimer) home(name string) string {
	if c.Home == nil {
		return c.Self
	}
	if id := c.Home(name); id != "" {
		return id
	}
	return c.Self
}

// shardOf returns the name of the key's shard.
func (c *Claimer) shardOf(key [32]byte) string {
	n := binary.BigEndian.Uint64(key[:]) % uint64(cmp.Or(c.Shards, DefaultShards))
	return fmt.Sprintf("%04d", n)
}

// nonce draws a nonce.
func (c *Claimer) nonce(n *[16]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	source := c.Rand
	if source == nil {
		source = rand.Reader
	}
	_, err := io.ReadFull(source, n[:])
	return err
}

// hash returns the hash of a team's key.
func hash(team, key string) [32]byte {
	return sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(team), team, key)))
}

func (c *Claimer) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}
