package sender

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/prober"
	"samphireturn/internal/core/rationer"
)

// headWriters pools the buffers for writing requests.
var headWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// exchange is one call on one connection.
type exchange struct {
	sender     *Sender
	conn       *conn
	call       *Call
	stopCancel func() bool
	// started is true once a byte may have been sent, written once the whole request
	// was.
	started, written atomic.Bool
	// share holds the memory of the answer's head.
	share rationer.Share
	// writing counts the goroutines that write the request.
	writing sync.WaitGroup
}

// errUndelivered is the error of an answer whose end is that of its connection, and may be due to what
// kept the request from being delivered.
var errUndelivered = errors.Wrap(io.ErrUnexpectedEOF, "request not delivered to its end")

// Write implements io.Writer. It records that bytes may be sent before it writes.
func (x *exchange) Write(p []byte) (int, error) {
	x.started.Store(true)
	return x.conn.Write(p)
}

// roundTrip writes the request and reads the head of its answer.
func (x *exchange) roundTrip() (*samphireturn.Response, error) {
	x.conn.carry(x.call.ID)
	x.conn.share = &x.share
	if len(x.call.Body) > maxInlineBody {
		x.writing.Add(1)
		x.sender.wait.Go(func() {
			defer x.writing.Done()
			_ = x.writeRequest()
		})
	} else if err := x.writeRequest(); err != nil && !x.started.Load() {
		return nil, x.fail(KindNotSent, err)
	}
	// A failed write does not end the exchange: the endpoint may have answered and
	// closed the connection without reading the rest of the request.
	for range maxStrayAnswers + 1 {
		res, err := x.conn.readHead(x.call.Method)
		if err != nil {
			return nil, x.fail(KindConnLost, err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		meta := x.sender.EndpointProtocol.DecodeResponse(res)
		if x.sender.OnAnswer != nil {
			x.sender.OnAnswer(x.call.Host, meta)
		}
		if meta.ID == x.call.ID || meta.NotExecuted && meta.ID == "" && len(x.conn.carried) == 1 {
			return x.response(res, meta), nil
		}
		if meta.ID == "" || !x.skipAnswer(res) {
			return nil, x.fail(KindMismatched, errors.Errorf("answer to request %q", meta.ID))
		}
	}
	return nil, x.fail(KindMismatched, errors.New("too many answers to other requests"))
}

// writeRequest writes the header and the body.
func (x *exchange) writeRequest() error {
	w := headWriters.Get().(*bufio.Writer)
	defer headWriters.Put(w)
	w.Reset(x)
	if err := x.call.writeHeader(w); err != nil {
		return err
	}
	if _, err := w.Write(x.call.Body); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.written.Store(true)
	return nil
}

// skipAnswer discards an answer to another request. It reports whether the connection
// can still be used: the answer is framed and shorter than maxStrayBytes.
func (x *exchange) skipAnswer(res *http.Response) bool {
	failures.Add("stray", 1)
	if res.Close || !framed(res) {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStrayBytes))
	return err == nil && n < maxStrayBytes
}

// fail returns an error of the exchange.
func (x *exchange) fail(kind Kind, err error) *Error {
	return &Error{Op: "send to " + x.call.Host.ID, Kind: kind, Err: err}
}

// response returns the answer with a body that returns the connection to the sender.
func (x *exchange) response(res *http.Response, meta samphireturn.ResponseMeta) *samphireturn.Response {
	b := &body{exchange: x, res: res, meta: meta}
	if res.ContentLength == 0 {
		b.finish(true)
	}
	return &samphireturn.Response{
		Status: res.StatusCode,
		Header: res.Header,
		Meta:   meta,
		Length: res.ContentLength,
		Framed: framed(res),
		Body:   b,
	}
}

// framed reports whether the end of the body is known without the end of the connection.
func framed(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// body is the body of an answer. It reuses or closes the connection at its end.
type body struct {
	*exchange
	res  *http.Response
	meta samphireturn.ResponseMeta
	once sync.Once
}

// Read implements io.Reader. At the end, a clean connection is kept for reuse.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.res.Body.Read(p)
	if errors.Is(err, io.EOF) && !framed(b.res) && !b.delivered() {
		err = errUndelivered
	}
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// delivered waits until the endpoint has received the whole request or the connection has failed, at
// most until the context of the call ends, and reports which. A read doesn't tell of a reset that failed
// a write, or that came after the end of the answer: an endpoint may end its answer first and read on.
func (b *body) delivered() bool {
	b.writing.Wait()
	return b.written.Load() && prober.Acknowledged(b.conn.Conn)
}

// Close ends the exchange and closes the connection unless the body was read to its
// end. The head must not be used any more.
func (b *body) Close() error {
	b.finish(false)
	b.share.Release()
	return nil
}

// finish keeps the connection for reuse if the exchange is complete and clean, and
// closes it otherwise. Only the first call has an effect.
func (b *body) finish(complete bool) {
	b.once.Do(func() {
		clean := complete && framed(b.res) && !b.res.Close && b.exchange.written.Load() && b.conn.reader.Buffered() == 0
		if b.stopCancel() && clean {
			b.sender.putIdle(b.conn, b.meta.IdleTimeout)
			return
		}
		_ = b.conn.Close()
	})
}
