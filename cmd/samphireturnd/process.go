package main

import (
	"expvar"
	"runtime"
	"syscall"
	"time"
)

// process is the counter of the daemon's own use of its VM.
type process struct {
	// CPU is the processor time in seconds since the start.
	CPU        float64 `json:"cpu"`
	Goroutines int     `json:"goroutines"`
	// Started is in seconds since 1970 UTC.
	Started int64 `json:"started"`
}

// publishProcess publishes the counter "process".
func publishProcess() {
	started := time.Now().Unix()
	expvar.Publish("process", expvar.Func(func() any {
		var r syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
		cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
		return process{CPU: cpu.Seconds(), Goroutines: runtime.NumGoroutine(), Started: started}
	}))
}
