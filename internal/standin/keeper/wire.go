package keeper

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"samphireturn"
)

func answerWrite(w http.ResponseWriter, version uint64, status int, err error) {
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("ETag", tag(version))
	w.WriteHeader(status)
}

// refuse answers with the status of the error's kind. An unknown outcome closes
// the connection without an answer.
func refuse(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch samphireturn.KindOf(err) {
	case samphireturn.KindUnknown:
		panic(http.ErrAbortHandler)
	case samphireturn.KindMissing:
		status = http.StatusNotFound
	case samphireturn.KindConflict:
		status = http.StatusPreconditionFailed
	case samphireturn.KindTimeout:
		w.WriteHeader(http.StatusNotModified)
		return
	case samphireturn.KindUnavailable:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	case samphireturn.KindLimited:
		status = http.StatusTooManyRequests
		w.Header().Set("Retry-After", "1")
	case samphireturn.KindInvalid:
		status = http.StatusBadRequest
	}
	http.Error(w, err.Error(), status)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v)
	if err != nil {
		http.Error(w, "bad JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// sleep waits for d and reports whether ctx lasted that long.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func tag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

func parseTag(s string) (uint64, bool) {
	t, err := strconv.Unquote(s)
	if err != nil {
		return 0, false
	}
	v, err := strconv.ParseUint(t, 10, 64)
	return v, err == nil
}
