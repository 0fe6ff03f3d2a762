package generator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"samphireturn/internal/standin/injector"
)

// Headers and codes of the engine's protocol.
const (
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
	headerStarted  = "X-Started"

	codeOverloaded = "overloaded"
	codeLeaving    = "leaving"
	codeNotLoaded  = "not_loaded"

	// maxBody bounds a request body in bytes.
	maxBody = 8 << 20
)

var _ http.Handler = (*Generator)(nil)

// ServeHTTP implements http.Handler.
func (g *Generator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.once.Do(g.setUp)
	g.mux.ServeHTTP(w, r)
}

func (g *Generator) routes() {
	g.mux = http.NewServeMux()
	g.mux.HandleFunc("POST /v1/chat/completions", g.chat)
	g.mux.HandleFunc("GET /v1/streams/{id}", g.resume)
	g.mux.HandleFunc("DELETE /v1/streams/{id}", g.cancelRun)
	g.mux.HandleFunc("GET /report", g.report)
	g.mux.HandleFunc("GET /events", g.events)
	g.mux.HandleFunc("POST /orders", g.order)
	g.mux.Handle("PUT /faults", &g.Injector)
}

func (g *Generator) chat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequest)
	w.Header().Set(headerRequest, id)
	f := g.Injector.Draw(id)
	if f.Delay > 0 && !sleep(r.Context(), f.Delay) {
		return
	}
	if f.ResetBefore {
		panic(http.ErrAbortHandler)
	}
	var req chatRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req)
	if err != nil || len(req.Messages) == 0 {
		fail(w, http.StatusBadRequest, "bad_request", "body is no chat request")
		return
	}
	if code := g.refusal(&req, f); code != "" {
		refuse(w, id, code)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(headerPriority))
	slot := g.reserve(int64(tokens(req.text())+req.output()), priority)
	if slot == nil {
		refuse(w, id, codeOverloaded)
		return
	}
	other := g.previous()
	started := g.launch(id, &req, slot)
	if f.Crossed && other != nil {
		started = other
	}
	if f.Fail {
		started.wait(r.Context())
		fail(w, http.StatusInternalServerError, "internal", "the engine failed")
		return
	}
	if req.Stream {
		g.stream(w, r, started, 0, f.ResetAfter)
		return
	}
	g.whole(w, r, started, f.ResetAfter)
}

// refusal returns why a request is not started, or nothing.
func (g *Generator) refusal(req *chatRequest, f injector.Fault) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle()
	switch {
	case f.Refuse:
		return codeOverloaded
	case g.Injector.Faults().Leaving:
		return codeLeaving
	case !slices.Contains(g.Versions, req.Model):
		return codeNotLoaded
	}
	return ""
}

// previous returns the run started last.
func (g *Generator) previous() *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last
}

func (g *Generator) whole(w http.ResponseWriter, r *http.Request, started *run, reset bool) {
	text, ok := started.wait(r.Context())
	if r.Context().Err() != nil {
		started.cancel()
		return
	}
	if reset {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		fail(w, http.StatusInternalServerError, "cancelled", "the request was cancelled")
		return
	}
	stop := "stop"
	rep := g.reply(started, "chat.completion")
	answer := message{Role: "assistant", Content: strings.Join(text, "")}
	rep.Choices = []choice{{Message: &answer, Finish: &stop}}
	rep.Usage = started.usage(len(text))
	w.Header().Set(headerRequest, started.id)
	write(w, http.StatusOK, rep)
}

// stream sends the chunks after the n-th as they are made. With reset it closes
// the connection after the first one.
func (g *Generator) stream(w http.ResponseWriter, r *http.Request, started *run, n int, reset bool) {
	w.Header().Set(headerRequest, started.id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for {
		text, state, changed := started.after(n)
		for _, word := range text {
			n++
			g.chunk(w, started, n, word)
			_ = rc.Flush()
			if reset {
				panic(http.ErrAbortHandler)
			}
		}
		switch state {
		case finished:
			g.finish(w, started, n)
			return
		case cancelled:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (g *Generator) chunk(w http.ResponseWriter, started *run, n int, word string) {
	rep := g.reply(started, "chat.completion.chunk")
	rep.Choices = []choice{{Delta: &message{Role: "assistant", Content: word}}}
	event(w, n, rep)
}

// finish sends the chunk with the usage, unless the reader has it, and the end
// of the stream.
func (g *Generator) finish(w http.ResponseWriter, started *run, n int) {
	made, _, _ := started.after(0)
	if n <= len(made) {
		stop := "stop"
		rep := g.reply(started, "chat.completion.chunk")
		rep.Choices = []choice{{Delta: &message{}, Finish: &stop}}
		rep.Usage = started.usage(len(made))
		event(w, len(made)+1, rep)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (g *Generator) reply(started *run, object string) *chatReply {
	return &chatReply{ID: started.id, Object: object, Created: g.Now().Unix(), Model: started.model}
}

func (r *run) usage(completion int) *usage {
	return &usage{Prompt: r.prompt, Completion: completion, Total: r.prompt + completion}
}

func (g *Generator) find(id string) *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire()
	return g.runs[id]
}

func (g *Generator) resume(w http.ResponseWriter, r *http.Request) {
	started := g.find(r.PathValue("id"))
	if started == nil {
		fail(w, http.StatusNotFound, "unknown", "no such stream")
		return
	}
	from := 0
	if s := r.URL.Query().Get("from"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			fail(w, http.StatusBadRequest, "bad_request", "from is no chunk number")
			return
		}
		from = n
	}
	g.stream(w, r, started, from, false)
}

func (g *Generator) cancelRun(w http.ResponseWriter, r *http.Request) {
	started := g.find(r.PathValue("id"))
	if started == nil {
		fail(w, http.StatusNotFound, "unknown", "no such stream")
		return
	}
	started.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// refuse answers that the request was not started.
func refuse(w http.ResponseWriter, id, code string) {
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerStarted, "no")
	w.Header().Set("Retry-After", "1")
	fail(w, http.StatusServiceUnavailable, code, "not started: "+code)
}

func fail(w http.ResponseWriter, status int, code, text string) {
	write(w, status, errorReply{Error: errorBody{Code: code, Message: text}})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// event writes one server-sent event.
func event(w http.ResponseWriter, n int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
}
