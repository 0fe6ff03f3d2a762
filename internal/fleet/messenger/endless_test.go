package messenger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestEndlessHead guards against what answers at the address of a daemon that is gone: a head without
// end is given up after some kilobytes, whatever is being opened.
func TestEndlessHead(t *testing.T) {
	const maxBytes = 32 << 10
	opens := []struct {
		name string
		open func(ctx context.Context, m *Messenger) error
	}{
		{"stream", func(ctx context.Context, m *Messenger) error {
			_, err := m.DialStream(ctx, vm("b", "x"))
			return err
		}},
		{"link", func(ctx context.Context, m *Messenger) error {
			_, err := m.dialWebSocket(ctx, vm("b", "x"))
			return err
		}},
	}
	tests := []struct{ name, first, next string }{
		{"no answer", "", strings.Repeat("x", 1<<10)},
		{"line", "HTTP/1.1 101 Switching Protocols\r\nX-A: ", strings.Repeat("x", 1<<10)},
		{"fields", "HTTP/1.1 101 Switching Protocols\r\n", strings.Repeat("A:\r\n", 1<<8)},
		{"blanks", "HTTP/1.1 101 Switching Protocols\r\nA:", strings.Repeat(" ", 1<<10)},
	}
	for _, open := range opens {
		for _, test := range tests {
			t.Run(open.name+", "+test.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					var written atomic.Int64
					m := New(vm("a", "x"), fleetKey, zerolog.Nop())
					m.Dial = func(context.Context, string) (net.Conn, error) {
						near, far := net.Pipe()
						go func() {
							defer far.Close()
							if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
								return
							}
							n, err := far.Write([]byte(test.first))
							for err == nil && written.Add(int64(n)) < 64*maxBytes {
								n, err = far.Write([]byte(test.next))
							}
						}()
						return near, nil
					}
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					c.Check(open.open(ctx, m), qt.IsNotNil)
					c.Check(written.Load() <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes", written.Load()))
				})
			})
		}
	}
}
