package receiver

import (
	"cmp"
	"samphireturn"
	"samphireturn/internal/traffic/decoder"
)

// reply is a whole answer that is ready to be written.
type reply struct {
	status  int
	kind    string // content type
	body    []byte
	version samphireturn.VersionRef
	token   string // session token
	run     string
}

// write answers with a reply.
func (x *exchange) write(a *reply) {
	h := x.Header()
	h.Set("Content-Type", a.kind)
	if a.token != "" {
		h.Set(decoder.HeaderSession, a.token)
	}
	if a.version.Model != "" {
		h.Set(decoder.HeaderVersion, a.version.String())
	}
	x.result.run = cmp.Or(a.run, samphireturn.ExecutedYes)
	if a.version.Model != "" {
		x.result.version = a.version.String()
	}
	x.WriteHeader(a.status)
	_, _ = x.Write(a.body)
}
