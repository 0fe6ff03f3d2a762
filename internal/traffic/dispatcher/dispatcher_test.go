package dispatcher_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	sr "samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

// BenchmarkSend compares calls on pooled connections with calls on connections of
// their own, over loopback.
func BenchmarkSend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(dispatcher.HeaderID, r.Header.Get(dispatcher.HeaderID))
		_, _ = io.WriteString(w, "booked")
	}))
	defer server.Close()
	e := &sr.Endpoint{VM: sr.VM{ID: "e", Addr: strings.TrimPrefix(server.URL, "http://")}}
	for _, once := range []bool{false, true} {
		b.Run(map[bool]string{false: "pooled", true: "unpooled"}[once], func(b *testing.B) {
			d := dispatcher.New(nil)
			for b.Loop() {
				_, err := d.Send(context.Background(), dispatcher.Call{
					Endpoint: e, ID: "r", Method: http.MethodPost, Path: "/bookings", Header: http.Header{}, Body: []byte("{}"), NoRetry: once,
				})
				if err != nil {
					b.Fatal(err)
				}
			}
			_ = d.Close()
		})
	}
}
