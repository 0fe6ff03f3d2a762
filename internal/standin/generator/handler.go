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

	// maxBodyBytes bounds a request body.
	maxBodyBytes = 8 << 20
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
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req)
	if err != nil || len(req.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "body is no chat request")
		return
	}
	if code := g.refusalCode(&req, f); code != "" {
		writeNotStarted(w, id, code)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(headerPriority))
	reserved := g.reserve(int64(tokens(req.prompt())+req.maxOutputTokens()), priority)
	if reserved == nil {
		writeNotStarted(w, id, codeOverloaded)
		return
	}
	previous := g.latestRun()
	started := g.startRun(id, &req, reserved)
	if f.SwapAnswer && previous != nil {
		started = previous
	}
	if f.Fail {
		started.wait(r.Context())
		writeError(w, http.StatusInternalServerError, "internal", "the engine failed")
		return
	}
	if req.Stream {
		g.writeStream(w, r, started, 0, f.ResetAfter)
		return
	}
	g.writeCompletion(w, r, started, f.ResetAfter)
}

// refusalCode returns the code of the reason not to start a request, or "".
func (g *Generator) refusalCode(req *chatRequest, f injector.Fault) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishLoad()
	switch {
	case f.Refuse:
		return codeOverloaded
	case g.Injector.Faults().Draining:
		return codeLeaving
	case !slices.Contains(g.Versions, req.Model):
		return codeNotLoaded
	}
	return ""
}

// latestRun returns the run that was started last, or nil.
func (g *Generator) latestRun() *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastRun
}

func (g *Generator) writeCompletion(w http.ResponseWriter, r *http.Request, started *run, reset bool) {
	text, ok := started.wait(r.Context())
	if r.Context().Err() != nil {
		started.cancel()
		return
	}
	if reset {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		writeError(w, http.StatusInternalServerError, "cancelled", "the request was cancelled")
		return
	}
	stop := "stop"
	rep := g.newReply(started, "chat.completion")
	answer := message{Role: "assistant", Content: strings.Join(text, "")}
	rep.Choices = []choice{{Message: &answer, Finish: &stop}}
	rep.Usage = started.usage(len(text))
	w.Header().Set(headerRequest, started.id)
	writeJSON(w, http.StatusOK, rep)
}

// writeStream sends the chunks after the n-th as they are generated. With reset it
// closes the connection after the first one.
func (g *Generator) writeStream(w http.ResponseWriter, r *http.Request, started *run, n int, reset bool) {
	w.Header().Set(headerRequest, started.id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for {
		text, state, changed := started.wordsAfter(n)
		for _, word := range text {
			n++
			g.writeChunk(w, started, n, word)
			_ = rc.Flush()
			if reset {
				panic(http.ErrAbortHandler)
			}
		}
		switch state {
		case finished:
			g.writeStreamEnd(w, started, n)
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

func (g *Generator) writeChunk(w http.ResponseWriter, started *run, n int, word string) {
	rep := g.newReply(started, "chat.completion.chunk")
	rep.Choices = []choice{{Delta: &message{Role: "assistant", Content: word}}}
	writeEvent(w, n, rep)
}

// writeStreamEnd sends the usage chunk, unless the caller already has it, and the
// end-of-stream marker.
func (g *Generator) writeStreamEnd(w http.ResponseWriter, started *run, n int) {
	words, _, _ := started.wordsAfter(0)
	if n <= len(words) {
		stop := "stop"
		rep := g.newReply(started, "chat.completion.chunk")
		rep.Choices = []choice{{Delta: &message{}, Finish: &stop}}
		rep.Usage = started.usage(len(words))
		writeEvent(w, len(words)+1, rep)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (g *Generator) newReply(started *run, object string) *chatReply {
	return &chatReply{ID: started.id, Object: object, Created: g.Now().Unix(), Model: started.model}
}

func (r *run) usage(completion int) *usage {
	return &usage{Prompt: r.promptTokens, Completion: completion, Total: r.promptTokens + completion}
}

func (g *Generator) findRun(id string) *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeExpired()
	return g.runs[id]
}

func (g *Generator) resume(w http.ResponseWriter, r *http.Request) {
	started := g.findRun(r.PathValue("id"))
	if started == nil {
		writeError(w, http.StatusNotFound, "unknown", "no such stream")
		return
	}
	from := 0
	if s := r.URL.Query().Get("from"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "bad_request", "from is no chunk number")
			return
		}
		from = n
	}
	g.writeStream(w, r, started, from, false)
}

func (g *Generator) cancelRun(w http.ResponseWriter, r *http.Request) {
	started := g.findRun(r.PathValue("id"))
	if started == nil {
		writeError(w, http.StatusNotFound, "unknown", "no such stream")
		return
	}
	started.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// writeNotStarted answers that the request was not started.
func writeNotStarted(w http.ResponseWriter, id, code string) {
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerStarted, "no")
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, code, "not started: "+code)
}

func writeError(w http.ResponseWriter, status int, code, text string) {
	writeJSON(w, status, errorReply{Error: errorBody{Code: code, Message: text}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeEvent writes one server-sent event.
func writeEvent(w http.ResponseWriter, n int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
}
