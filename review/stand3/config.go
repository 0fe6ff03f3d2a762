package main

// configuration returns a configuration like those of the example site: streams that may be resumed,
// with models by size or without, and calls that may run once or more often.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "draft", "host": host, "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 25000, "goalMs": 4000, "gapAimMs": 2000,
				"priority": 0, "attempts": 3, "resumable": true, "backend": "llm"},
			{"name": "sized", "host": host, "pathPrefix": "/sized/", "kind": "streaming", "timeoutMs": 25000, "goalMs": 4000, "gapAimMs": 2000,
				"priority": 0, "attempts": 3, "resumable": true, "backend": "llm", "sizes": []string{"m0", "m1", "m2"}},
			{"name": "booking", "host": host, "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 1500, "goalMs": 300, "priority": 2, "attempts": 1, "backend": "app"},
			{"name": "lookup", "host": host, "pathPrefix": "/look/", "kind": "safe", "timeoutMs": 1500, "goalMs": 300, "priority": 2, "attempts": 2, "backend": "app"},
		},
		"backends": []map[string]any{
			{"name": "llm", "healthPath": "/healthz", "maxConns": 370, "coldS": 3, "coldPerS": 10,
				"engine": map[string]any{"slots": 64, "kvCapacity": 385313, "models": []map[string]any{{"name": "m0", "cost": 0.016}, {"name": "m1", "cost": 0.12}, {"name": "m2", "cost": 0.25}}}},
			{"name": "app", "healthPath": "/healthz", "maxConns": 110},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{key}}},
	}
}
