package scanner_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/core/scanner"
)

// TestConnFailed checks that a connection on which a head has failed doesn't wait for more of it.
func TestConnFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		near, far := net.Pipe()
		conn := &scanner.Conn{Conn: near}
		buffer := make([]byte, 100)
		go func() { _, _ = io.WriteString(far, "HTTP/1.1 000 None\r\n") }()
		_, err := conn.Read(buffer)
		c.Assert(err, qt.IsNotNil)
		again := make(chan error, 1)
		go func() {
			_, err := conn.Read(buffer)
			again <- err
		}()
		synctest.Wait()
		select {
		case err := <-again:
			c.Check(err, qt.ErrorMatches, "read head: malformed")
		default:
			t.Error("the second read waits")
		}
		c.Check(far.Close(), qt.IsNil)
		c.Check(conn.Close(), qt.IsNil)
	})
}
