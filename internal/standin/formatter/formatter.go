// Package formatter holds the names of the users' protocols and writes the objects of the
// users' store, for stand-ins and soaks of callers, servers and operators.
package formatter

import (
	"encoding/json"
	"fmt"
	"time"
)

// Headers of requests and answers.
const (
	ID             = "Attempt-Id"
	Deadline       = "Deadline-Ms"
	Model          = "Model"
	TokenCount     = "Token-Count"
	PromptPrefix   = "Prompt-Prefix"
	LastEventID    = "Last-Event-Id"
	Team           = "Tenant"
	Hold           = "Hold"
	Pin            = "Pin-Ms"
	Backup         = "Kv-Backup"
	MemoryFrom     = "Kv-From"
	ExpectInstance = "Expect-Instance"
	Instance       = "Instance-Id"
	Seal           = "Server-Seal"
	NotExecuted    = "Not-Executed"
	Load           = "Server-Load"
	Leaving        = "Server-Leaving"
	Limit          = "Server-Limit"
	Brittle        = "Server-Brittle"
	Confidence     = "Confidence"
)

// Kinds of the store's objects, and the name of the one that holds the routing table.
const (
	Tables   = "config"
	Servers  = "servers"
	Rollouts = "rollouts"
	Closures = "evacuations"

	CurrentTable = "main"
)

// Server is the entry of a server.
type Server struct {
	Pool, Addr, Centre, Release string
	Slots                       int
	Leaving                     bool
	// Writes is the number of times that the server has written.
	Writes int
	// Started is when its process started, in Unix milliseconds.
	Started int64
}

// MarshalJSON implements json.Marshaler.
func (s Server) MarshalJSON() ([]byte, error) {
	state := "ready"
	if s.Leaving {
		state = "draining"
	}
	return json.Marshal(map[string]any{
		"backend": s.Pool, "address": s.Addr, "zone": s.Centre, "version": s.Release, "slots": s.Slots, "state": state,
		"coldLeftMs": 0, "seq": s.Writes, "born": s.Started,
	})
}

// Rollout returns the order of a roll-out.
func Rollout(pool, release string, length time.Duration) map[string]any {
	return map[string]any{"backend": pool, "target": release, "durationS": length.Seconds()}
}

// Table returns a routing table of streams that may be resumed (draft) or not (chat), work
// that runs once (book) or may be repeated (find), and a public route (open). The named
// route and the key of team beta are those of this version alone.
func Table(version int, host, route, alphaKey, betaKey string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
{"name":"draft","host":%[2]q,"pathPrefix":"/draft/","kind":"streaming","timeoutMs":20000,"goalMs":4000,
 "sizes":["small","large"],"backend":"llm","attempts":3,"resumable":true,"gapAimMs":2000},
{"name":"chat","host":%[2]q,"pathPrefix":"/chat/","kind":"streaming","timeoutMs":20000,"goalMs":4000,
 "backend":"llm","attempts":3,"gapAimMs":2000},
{"name":"book","host":%[2]q,"pathPrefix":"/book/","kind":"unsafe","timeoutMs":3000,"goalMs":300,"backend":"app","attempts":3},
{"name":"find","host":%[2]q,"pathPrefix":"/book/find/","kind":"safe","timeoutMs":3000,"goalMs":300,"backend":"app","attempts":2},
{"name":"open","host":%[2]q,"pathPrefix":"/open/","kind":"safe","timeoutMs":3000,"goalMs":300,"backend":"app","attempts":2,"noAuth":true},
{"name":%[3]q,"host":%[2]q,"pathPrefix":"/%[3]s/","kind":"safe","timeoutMs":3000,"goalMs":300,"backend":"app","attempts":2}],
"backends":[{"name":"llm","healthPath":"/healthz","maxConns":100,"coldS":3,"coldPerS":10,
 "engine":{"slots":8,"kvCapacity":100000,"models":[{"name":"small","cost":0.1},{"name":"large","cost":1}]}},
 {"name":"app","healthPath":"/healthz","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"alpha","apiKeys":[%[4]q]},{"name":"beta","apiKeys":[%[5]q]}]}`,
		version, host, route, alphaKey, betaKey))
}

// Unusable returns objects of the named server that can't be understood: its metadata, a
// field of another type, a state that does not exist.
func Unusable(name string) []string {
	return []string{
		`{"metadata":{"name":"` + name + `","revision":"x"},"spec":{}}`,
		`{"metadata":{"name":"` + name + `"},"spec":{"backend":"app","address":7,"zone":"north","state":"ready"}}`,
		`{"metadata":{"name":"` + name + `"},"spec":{"backend":"app","address":"127.0.0.1:1","zone":"north","state":"odd"}}`,
	}
}
