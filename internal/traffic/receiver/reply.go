package receiver

import (
	"cmp"
	"samphireturn"
	"samphireturn/internal/traffic/decoder"
)

// reply is a complete answer that is ready to be written.
type reply struct {
	status       int
	contentType  string
	body         []byte
	version      samphireturn.VersionRef
	sessionToken string
	executed     string
}

// write writes a reply to the caller.
func (x *exchange) write(a *reply) {
	h := x.Header()
	h.Set("Content-Type", a.contentType)
	if a.sessionToken != "" {
		h.Set(decoder.HeaderSession, a.sessionToken)
	}
	if a.version.Model != "" {
		h.Set(decoder.HeaderVersion, a.version.String())
	}
	x.result.executed = cmp.Or(a.executed, samphireturn.ExecutedYes)
	if a.version.Model != "" {
		x.result.version = a.version.String()
	}
	x.WriteHeader(a.status)
	_, _ = x.Write(a.body)
}
