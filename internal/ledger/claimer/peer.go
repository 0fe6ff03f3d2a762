package claimer

import (
	"cmp"
	"context"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// submitClaim commits r through the shard's home, or here if the home can't be
// reached, and returns the claim in force for the key. After an error,
// mayBeLogged is true if r is in the log or may still get there.
func (c *Claimer) submitClaim(ctx context.Context, name string, r record) (found record, mayBeLogged bool, err error) {
	home := c.home(name)
	if home == c.SelfID {
		return c.commitClaim(ctx, name, r)
	}
	if !slices.Contains(c.Peers.Connected(), home) {
		retries.Add("home not connected", 1)
		return c.commitClaim(ctx, name, r)
	}
	callCtx, cancel := context.WithTimeout(ctx, 2*cmp.Or(c.CommitTimeout, DefaultCommitTimeout))
	defer cancel()
	var reply claimReply
	err = c.Peers.Call(callCtx, home, TopicClaim, r, &reply)
	switch {
	case err != nil || reply.Refused && reply.Kind == KindClosed:
		// The home may have committed r. This daemon then finds the same nonce
		// in the log.
		retries.Add("home not reached", 1)
		found, _, err = c.commitClaim(ctx, name, r)
		return found, true, err
	case reply.Refused:
		return record{}, reply.MayBeLogged, newError("claim at "+home, reply.Kind, nil)
	}
	return reply.Record, false, nil
}

// claimReply is the reply to a call of TopicClaim.
type claimReply struct {
	Refused     bool   `cbor:"r"`
	Kind        Kind   `cbor:"k"`
	MayBeLogged bool   `cbor:"d,omitempty"`
	Record      record `cbor:"c"`
}

// handleClaim commits a claim for another daemon.
func (c *Claimer) handleClaim(ctx context.Context, from string, body []byte) (any, error) {
	op := "claim from " + from
	r, err := decodeRecord(op, body)
	if err != nil {
		return nil, err
	}
	latest := c.now().Add(MaxTTL + cmp.Or(c.MaxClockSkew, DefaultMaxClockSkew)).Unix()
	if r.Done || r.Released || r.Expires > latest {
		return nil, newError(op, KindInvalid, nil)
	}
	found, mayBeLogged, err := c.commitClaim(ctx, c.shardOf(r.Key), r)
	if err != nil {
		kind := KindUnavailable
		if e, ok := err.(*Error); ok {
			kind = e.Kind
		}
		return claimReply{Refused: true, Kind: kind, MayBeLogged: mayBeLogged}, nil
	}
	return claimReply{Record: found}, nil
}

// handleFinish queues an outcome of another daemon for the next batch. It
// replies to a release only once that is in the log.
func (c *Claimer) handleFinish(ctx context.Context, from string, body []byte) (any, error) {
	op := "finish from " + from
	r, err := decodeRecord(op, body)
	if err != nil {
		return nil, err
	}
	if r.Done == r.Released {
		return nil, newError(op, KindInvalid, nil)
	}
	return nil, c.commitUpdate(ctx, c.shardOf(r.Key), r)
}

// decodeRecord decodes and validates a record sent by a peer.
func decodeRecord(op string, body []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(body, &r); err != nil {
		return r, newError(op, KindInvalid, err)
	}
	if r.Nonce == ([16]byte{}) || len(r.Outcome.Summary) > MaxSummaryBytes {
		return r, newError(op, KindInvalid, nil)
	}
	return r, nil
}
