package claimer_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
	"samphireturn/internal/ledger/claimer"
)

// FuzzDecode decodes arbitrary bytes as a peer's claim, as its outcome and as a
// window of the log. None may cause a key that is in the log to be granted again.
func FuzzDecode(f *testing.F) {
	r := map[string]any{"k": make([]byte, 32), "p": make([]byte, 32), "n": [16]byte{1}, "e": time.Now().Add(time.Hour).Unix()}
	claim, _ := cbor.Marshal(r)
	r["d"] = true
	outcome, _ := cbor.Marshal(r)
	window, _ := cbor.Marshal(map[string]any{"s": true, "b": 1, "r": []any{r}})
	for _, seed := range [][]byte{claim, outcome, window, claim[:20], {}, {0xa0}, {0xff}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		run(t, func(tf *testFleet) {
			a, b := tf.addClaimer("a", "a"), tf.addClaimer("b", "b")
			tf.mustClaim(a, "x", true)
			for _, topic := range []string{claimer.TopicClaim, claimer.TopicFinish} {
				_, _ = tf.network.handlers["b"][topic](tf.t.Context(), "a", body)
			}
			tf.mustClaim(b, "x", false)
			name := claimer.Prefix + "0000/000000000002"
			tf.store.objects[name] = samphireturn.Object{Name: name, Version: 9, Value: body}
			if claim, err := tf.claim(tf.addClaimer("c", "c"), "x"); err == nil && claim.Granted {
				t.Fatalf("granted twice after %x", body)
			}
		})
	})
}
