package main

import (
	"expvar"
	"runtime"
	"syscall"
	"time"
)

// processStats is the value of the counter "process": the daemon's resource use.
type processStats struct {
	// CPU is the user and system time in seconds since the start.
	CPU        float64 `json:"cpu"`
	Goroutines int     `json:"goroutines"`
	// Started is the start time in Unix seconds.
	Started int64 `json:"started"`
}

// publishProcess publishes the counter "process".
func publishProcess() {
	started := time.Now().Unix()
	expvar.Publish("process", expvar.Func(func() any {
		var r syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
		cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
		return processStats{CPU: cpu.Seconds(), Goroutines: runtime.NumGoroutine(), Started: started}
	}))
}
