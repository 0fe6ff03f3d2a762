package sender

import (
	"bufio"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"samphireturn"
)

// writers are the buffers of request heads.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// exchange is one call on one connection.
type exchange struct {
	sender *Sender
	conn   *conn
	call   *Call
	stop   func() bool
	// wrote is true once a byte may have left; whole once all have.
	wrote, whole atomic.Bool
}

// Write notes that bytes leave, before they do.
func (x *exchange) Write(p []byte) (int, error) {
	x.wrote.Store(true)
	return x.conn.Write(p)
}

// run writes the request and reads the head of its answer.
func (x *exchange) run() (*samphireturn.Response, error) {
	if len(x.call.Body) > inlineBody {
		x.sender.wait.Go(func() { _ = x.write() })
	} else if err := x.write(); err != nil && !x.wrote.Load() {
		return nil, x.fail(KindUnread, err)
	}
	// An endpoint may answer and close without reading on, so a failed write does
	// not end the exchange: the answer may be there.
	for range strays + 1 {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, x.fail(KindBroken, err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		sign := x.sender.EndpointProtocol.DecodeResponse(res)
		if sign.ID == x.call.ID || sign.NotExecuted && sign.ID == "" {
			return x.reply(res, sign), nil
		}
		if sign.ID == "" || !x.skip(res) {
			return nil, x.fail(KindCrossed, errors.Errorf("answer to request %q", sign.ID))
		}
	}
	return nil, x.fail(KindCrossed, errors.New("too many answers to other requests"))
}

// write writes the request.
func (x *exchange) write() error {
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(x)
	if err := x.call.header(w); err != nil {
		return err
	}
	if _, err := w.Write(x.call.Body); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.whole.Store(true)
	return nil
}

// skip reads an answer to another request to its end, if that is near.
func (x *exchange) skip(res *http.Response) bool {
	failures.Add("stray", 1)
	if res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, strayBody))
	return err == nil && n < strayBody
}

// fail returns an error of the exchange.
func (x *exchange) fail(kind Kind, err error) *Error {
	return &Error{Op: "send to " + x.call.Host.ID, Kind: kind, Err: err}
}

// reply returns the answer with a body that gives the connection back.
func (x *exchange) reply(res *http.Response, sign samphireturn.ResponseMeta) *samphireturn.Response {
	b := &body{exchange: x, res: res, sign: sign}
	if res.ContentLength == 0 {
		b.settle(true)
	}
	return &samphireturn.Response{
		Status: res.StatusCode,
		Header: res.Header,
		Meta:   sign,
		Length: res.ContentLength,
		Body:   b,
	}
}

// body is the body of an answer.
type body struct {
	*exchange
	res  *http.Response
	sign samphireturn.ResponseMeta
	once sync.Once
}

// Read reads on. At the end the connection is kept if it is clean.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.res.Body.Read(p)
	if err != nil {
		b.settle(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the exchange; what was not read is lost with the connection.
func (b *body) Close() error {
	b.settle(false)
	return nil
}

// settle keeps or closes the connection, once.
func (b *body) settle(whole bool) {
	b.once.Do(func() {
		framed := b.res.ContentLength >= 0 || len(b.res.TransferEncoding) > 0
		clean := whole && framed && !b.res.Close && b.exchange.whole.Load() && b.conn.reader.Buffered() == 0
		if b.stop() && clean {
			b.sender.keep(b.conn, b.sign.IdleTimeout)
			return
		}
		_ = b.conn.Close()
	})
}
