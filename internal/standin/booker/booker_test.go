package booker_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/booker"
	"samphireturn/internal/standin/injector"
)

// do sends one request and returns the answer; its code is 0 if the handler aborts
// the connection.
func do(h http.Handler, method, path, id, body string) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	defer func() {
		if recover() == http.ErrAbortHandler {
			w.Code = 0
		}
	}()
	h.ServeHTTP(w, r)
	return w
}

// TestBookings checks for each injected fault whether a booking is made. Bookings are
// not idempotent, so a refusal must make none and be marked as not started.
func TestBookings(t *testing.T) {
	tests := []struct {
		name     string
		fault    injector.Fault
		code     int
		bookings int
	}{
		{"none", injector.Fault{}, 201, 1},
		{"refused", injector.Fault{Refuse: true}, 503, 0},
		{"reset before", injector.Fault{ResetBefore: true}, 0, 0},
		{"reset after", injector.Fault{ResetAfter: true}, 0, 1},
		{"error", injector.Fault{Fail: true}, 500, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := &booker.Booker{}
			b.Injector.Hook = func(string) injector.Fault { return tt.fault }
			w := do(b, "POST", "/bookings", "a", "")
			c.Assert(w.Code, qt.Equals, tt.code)
			c.Assert(w.Header().Get("X-Started") == "no", qt.Equals, tt.code == 503)
			c.Assert(b.Bookings(), qt.Equals, tt.bookings)
			c.Assert(b.RunCount("a"), qt.Equals, tt.bookings)
		})
	}
}

// TestSlots checks that a slot can be taken again by its holder but by nobody else, and
// that an unknown slot is refused.
func TestSlots(t *testing.T) {
	c := qt.New(t)
	b := &booker.Booker{Slots: 2}
	c.Assert(do(b, "PUT", "/slots/1", "a", `{"name":"ana"}`).Code, qt.Equals, 200)
	c.Assert(do(b, "PUT", "/slots/1", "b", `{"name":"ana"}`).Code, qt.Equals, 200)
	c.Assert(do(b, "PUT", "/slots/1", "c", `{"name":"eva"}`).Code, qt.Equals, 409)
	c.Assert(do(b, "PUT", "/slots/3", "d", `{"name":"eva"}`).Code, qt.Equals, 404)
	w := do(b, "GET", "/slots", "e", "")
	c.Assert(w.Header().Get("X-Request-Id"), qt.Equals, "e")
	c.Assert(w.Body.String(), qt.Equals, `[{"slot":1,"name":"ana"},{"slot":2,"name":""}]`+"\n")
}
