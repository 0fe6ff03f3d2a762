package keeper

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"samphireturn"
)

func writeResult(w http.ResponseWriter, version uint64, status int, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatETag(version))
	w.WriteHeader(status)
}

// writeError answers with the status of the error's kind. For KindUnknown it
// closes the connection without an answer.
func writeError(w http.ResponseWriter, err error) {
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		http.Error(w, "bad JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// sleep waits for d and reports whether ctx was still live at the end.
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

func formatETag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

func parseETag(s string) (uint64, bool) {
	t, err := strconv.Unquote(s)
	if err != nil {
		return 0, false
	}
	v, err := strconv.ParseUint(t, 10, 64)
	return v, err == nil
}
