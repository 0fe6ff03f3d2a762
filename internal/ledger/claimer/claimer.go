// Package claimer grants a caller's Idempotency-Key to at most one run.
//
// Keys are spread over shards. Each shard has a home, the daemon that commits
// the shard's claims in batches, so that the number of writes to the platform
// grows with the number of shards and with time, and not with the number of
// requests. The home is only a hint: any daemon can commit. Two daemons that
// both act as home do no harm, because a claim counts only once a conditional
// write has added it to the shard's log.
//
// The log of a shard is a sequence of objects, claims/<shard>/<number>, called
// windows. Only the last window takes records. A writer that has read all
// windows appends by a conditional update of the version of the last one that
// it read. A window that is full or old is sealed by its last update, and the
// next number is then created. A writer that has missed a record, a seal or a
// new window fails the condition, reads the log again and decides again. All
// grants of a shard are therefore in one order, whichever daemon makes them. A
// single object per shard would give the same order, but every batch would
// rewrite it whole, and it could never drop old claims. With windows named by
// time, two daemons whose clocks differ could grant the same key in two
// windows.
//
// Each attempt to claim a key has its own nonce, drawn by the daemon that wants
// to run the request. When the reply to a write is lost, the writer reads the
// log and looks for its nonces. If that fails too, the caller receives an error
// of KindUnavailable. The record may still be in the log; a later attempt then
// finds an earlier claim whose run is unknown, and the key is not granted to
// another run. An attempt that is sent again with the same nonce, through the
// home or past it, finds its own nonce and is granted.
//
// A granted claim whose request did not run is released by a record with its
// nonce, after which the key can be claimed again. A released nonce never
// claims again, so a delayed copy of the attempt has no effect. An attempt that
// failed with KindUnavailable is released in the same way, whether or not it is
// in the log yet: if its write is still in flight when the release is written,
// that write fails its condition. Until the release is written, other attempts
// find the state of the key unknown.
//
// A claim is forgotten only MaxClockSkew after its expiry, because the daemons'
// clocks differ. A sealed window is removed once all its claims can be
// forgotten. The last window is never removed, so that no number is used twice.
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
	// Prefix is the common prefix of the names of all windows.
	Prefix = "claims/"
	// TopicClaim is the topic of calls that send an attempt to the home of its
	// shard.
	TopicClaim = "claim"
	// TopicFinish is the topic of calls that send an outcome or a release to
	// the home of its shard.
	TopicFinish = "claim.finish"

	// DefaultShards is the number of shards of the fleet.
	DefaultShards = 16
	// DefaultBatchDelay is how long a batch waits for further claims.
	DefaultBatchDelay = 20 * time.Millisecond
	// DefaultBatchInterval is the minimum time between two batches of a shard.
	DefaultBatchInterval = 100 * time.Millisecond
	// DefaultOutcomeDelay is the longest time that an outcome waits for a
	// batch.
	DefaultOutcomeDelay = time.Second
	// DefaultCommitTimeout bounds one peer call and the commit of one batch.
	DefaultCommitTimeout = 2 * time.Second
	// DefaultMaxClockSkew is how long a claim is kept past its expiry, because
	// the clocks of daemons differ.
	DefaultMaxClockSkew = time.Minute
	// DefaultWindowAge is the age at which a window is sealed.
	DefaultWindowAge = 10 * time.Minute
	// DefaultWindowBytes is the size at which a window is sealed.
	DefaultWindowBytes = 128 << 10
	// DefaultMaxClaims bounds the claims and released nonces kept for one
	// shard.
	DefaultMaxClaims = 10_000
	// DefaultMaxPending bounds the claims that wait in one shard, and likewise
	// the outcomes and releases.
	DefaultMaxPending = 256
	// MaxTTL is the longest lifetime of a claim.
	MaxTTL = 24 * time.Hour
	// MaxKeyBytes is the length of the longest accepted key.
	MaxKeyBytes = 256
	// MaxSummaryBytes is the length of the longest summary that is stored.
	MaxSummaryBytes = 256
)

// States of a claim.
const (
	// StateUnknown means that an earlier holder of the key may or may not have
	// run the request, or is still running it.
	StateUnknown State = iota
	// StateDone means that an earlier run ended and its outcome is known.
	StateDone
)

// State is the state of a key's earlier claim.
type State int

// Claim is the result of an attempt to claim a key.
type Claim struct {
	// Granted is true if the caller may run the request. No other attempt is
	// granted the key unless this claim is released or expires.
	Granted bool
	// State and Outcome describe the earlier claim if Granted is false.
	State   State
	Outcome Outcome

	record record
	shard  string
}

// Outcome is the stored result of a run.
type Outcome struct {
	// Status is the HTTP status of the answer.
	Status int `cbor:"c"`
	// Summary is dropped if it is longer than MaxSummaryBytes.
	Summary []byte `cbor:"s,omitempty"`
}

// Claimer is the service that grants claims. Set the exported fields before
// calling Register and Run.
type Claimer struct {
	Store samphireturn.Store
	Peers samphireturn.Peers
	// SelfID is this daemon's id among the peers.
	SelfID string
	// HomeOf returns the id of the daemon that is home of a shard. If it is nil
	// or returns an empty string, this daemon is the home.
	HomeOf func(shard string) string
	Log    zerolog.Logger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Rand is the source of nonces; nil means crypto/rand.
	Rand io.Reader
	// Shards must be the same in every daemon. Zero in this or any of the
	// following fields means the default of the same name.
	Shards                                  int
	BatchDelay, OutcomeDelay, CommitTimeout time.Duration
	// BatchInterval is the minimum time between two batches of a shard.
	BatchInterval           time.Duration
	MaxClockSkew, WindowAge time.Duration
	WindowBytes             int
	MaxClaims, MaxPending   int

	mu     sync.Mutex
	closed bool
	shards map[string]*shard
	tasks  sync.WaitGroup
}

// Register registers the handlers of the claimer's topics. It must be called
// before the peers run.
func (c *Claimer) Register() {
	c.Peers.Handle(TopicClaim, c.handleClaim)
	c.Peers.Handle(TopicFinish, c.handleFinish)
}

// Run checks the fields. It starts no goroutine: each shard's goroutine is
// started when a claim or an update waits.
func (c *Claimer) Run(context.Context) error {
	if c.Store == nil || c.Peers == nil || c.SelfID == "" {
		return &Error{Op: "run claimer", Kind: KindInvalid}
	}
	return nil
}

// Close rejects further claims and waits until all waiting ones are committed
// or have failed.
func (c *Claimer) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.tasks.Wait()
	return nil
}

// Claim tries to claim the team's key for a request. It must be called before
// the request is sent. Digest is the hash of the request's method, path and
// body; ttl is capped at MaxTTL. The error is of KindMismatch if the key was
// claimed for another digest and of KindInvalid if the key is empty or longer than
// MaxKeyBytes or ttl is not positive. After any error the caller must not run the
// request.
func (c *Claimer) Claim(ctx context.Context, team, key string, digest [32]byte, ttl time.Duration) (Claim, error) {
	op := "claim for " + team
	if key == "" || len(key) > MaxKeyBytes || ttl <= 0 {
		return Claim{}, newError(op, KindInvalid, nil)
	}
	r := record{
		Key:     hashKey(team, key),
		Digest:  digest,
		Expires: c.now().Add(min(ttl, MaxTTL)).Unix(),
	}
	if err := c.readNonce(&r.Nonce); err != nil {
		return Claim{}, newError(op, KindUnavailable, err)
	}
	name := c.shardOf(r.Key)
	found, mayBeLogged, err := c.submitClaim(ctx, name, r)
	if mayBeLogged && err != nil {
		c.abandon(name, r)
	}
	if err != nil {
		return Claim{}, err
	}
	if found.Digest != digest {
		return Claim{}, newError(op, KindMismatch, nil)
	}
	if found.Nonce == r.Nonce {
		counters.Add("granted", 1)
		return Claim{Granted: true, record: r, shard: name}, nil
	}
	counters.Add("taken", 1)
	claim := Claim{Outcome: found.Outcome}
	if found.Done {
		claim.State = StateDone
	}
	return claim, nil
}

// Finish stores the outcome of a granted claim in a later batch. It is best
// effort: if the outcome is lost, the claim's state stays unknown.
func (c *Claimer) Finish(ctx context.Context, claim Claim, o Outcome) error {
	if !claim.Granted {
		return newError("finish", KindInvalid, nil)
	}
	if len(o.Summary) > MaxSummaryBytes {
		o.Summary = nil
	}
	r := claim.record
	r.Done, r.Outcome = true, o
	return c.submitUpdate(ctx, claim.shard, r)
}

// Release gives up a granted claim whose request has not run and will not run,
// so that another attempt can claim the key. It returns once the release is in
// the log, or with an error if that takes too long; the release is then still
// retried and the state of the key stays unknown until it is written.
func (c *Claimer) Release(ctx context.Context, claim Claim) error {
	if !claim.Granted {
		return newError("release", KindInvalid, nil)
	}
	counters.Add("released", 1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*cmp.Or(c.CommitTimeout, DefaultCommitTimeout))
	defer cancel()
	r := claim.record
	r.Released = true
	return c.submitUpdate(ctx, claim.shard, r)
}

// abandon releases a claim whose caller received an error although the claim
// may be in the log or may still be written. It does not wait.
func (c *Claimer) abandon(name string, r record) {
	counters.Add("abandoned", 1)
	r.Released = true
	if err := c.enqueue(name, nil, &pendingUpdate{record: r, done: make(chan struct{})}); err != nil {
		c.Log.Warn().Err(err).Str("shard", name).Msg("abandoned claim not released")
	}
}

// submitUpdate sends an outcome or a release to the shard's home, or commits it
// here if the home can't be reached.
func (c *Claimer) submitUpdate(ctx context.Context, name string, r record) error {
	if home := c.home(name); home != c.SelfID && slices.Contains(c.Peers.Connected(), home) {
		callCtx, cancel := context.WithTimeout(ctx, cmp.Or(c.CommitTimeout, DefaultCommitTimeout))
		defer cancel()
		if c.Peers.Call(callCtx, home, TopicFinish, r, nil) == nil {
			return nil
		}
		retries.Add("home not reached", 1)
	}
	return c.commitUpdate(ctx, name, r)
}

func (c *Claimer) home(name string) string {
	if c.HomeOf == nil {
		return c.SelfID
	}
	if id := c.HomeOf(name); id != "" {
		return id
	}
	return c.SelfID
}

// shardOf returns the name of the key's shard.
func (c *Claimer) shardOf(key [32]byte) string {
	n := binary.BigEndian.Uint64(key[:]) % uint64(cmp.Or(c.Shards, DefaultShards))
	return fmt.Sprintf("%04d", n)
}

// readNonce fills n from the source of nonces.
func (c *Claimer) readNonce(n *[16]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	source := c.Rand
	if source == nil {
		source = rand.Reader
	}
	_, err := io.ReadFull(source, n[:])
	return err
}

// hashKey returns the hash of a team's key. The length of the team's name keeps
// different pairs of team and key apart.
func hashKey(team, key string) [32]byte {
	return sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(team), team, key)))
}

func (c *Claimer) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}
