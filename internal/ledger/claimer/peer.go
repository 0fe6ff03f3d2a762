package claimer

import (
	"cmp"
	"context"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// attempt commits r through its home, or here if the home can't be reached, and
// returns the key's claim in force. After an error, doubt is true if r may be in
// the log or may come there.
func (c *Claimer) attempt(ctx context.Context, name string, r record) (found record, doubt bool, err error) {
	home := c.home(name)
	if home == c.Self {
		return c.commit(ctx, name, r)
	}
	if !slices.Contains(c.Peers.Connected(), home) {
		retries.Add("home not connected", 1)
		return c.commit(ctx, name, r)
	}
	call, cancel := context.WithTimeout(ctx, 2*cmp.Or(c.Wait, DefaultWait))
	defer cancel()
	var a answer
	err = c.Peers.Call(call, home, TopicClaim, r, &a)
	switch {
	case err != nil || a.Refused && a.Kind == KindClosed:
		// The home may have committed r: the same nonce is then found here.
		retries.Add("home not reached", 1)
		found, _, err = c.commit(ctx, name, r)
		return found, true, err
	case a.Refused:
		return record{}, a.Doubt, refuse("claim at "+home, a.Kind, nil)
	}
	return a.Record, false, nil
}

// answer is the reply to TopicClaim.
type answer struct {
	Refused bool   `cbor:"r"`
	Kind    Kind   `cbor:"k"`
	Doubt   bool   `cbor:"d,omitempty"`
	Record  record `cbor:"c"`
}

// takeClaim commits an attempt of another daemon.
func (c *Claimer) takeClaim(ctx context.Context, from string, body []byte) (any, error) {
	op := "claim from " + from
	r, err := parse(op, body)
	if err != nil {
		return nil, err
	}
	latest := c.now().Add(MaxLife + cmp.Or(c.Slack, DefaultSlack)).Unix()
	if r.Done || r.Freed || r.Expires > latest {
		return nil, refuse(op, KindInvalid, nil)
	}
	found, doubt, err := c.commit(ctx, c.shardOf(r.Key), r)
	if err != nil {
		kind := KindUnavailable
		if e, ok := err.(*Error); ok {
			kind = e.Kind
		}
		return answer{Refused: true, Kind: kind, Doubt: doubt}, nil
	}
	return answer{Record: found}, nil
}

// takeFinish keeps an outcome of another daemon for the next batch. A release
// is answered once it is in the log.
func (c *Claimer) takeFinish(ctx context.Context, from string, body []byte) (any, error) {
	op := "finish from " + from
	r, err := parse(op, body)
	if err != nil {
		return nil, err
	}
	if r.Done == r.Freed {
		return nil, refuse(op, KindInvalid, nil)
	}
	return nil, c.finish(ctx, c.shardOf(r.Key), r)
}

// parse decodes and checks a record of a peer.
func parse(op string, body []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(body, &r); err != nil {
		return r, refuse(op, KindInvalid, err)
	}
	if r.Nonce == ([16]byte{}) || len(r.Outcome.Summary) > MaxSummary {
		return r, refuse(op, KindInvalid, nil)
	}
	return r, nil
}
