package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/standin/generator"
)

const platformTimeout = 5 * time.Second

// poolCmd runs many engines in one process.
type poolCmd struct {
	Listen   string   `arg:"--listen,required" help:"host:port of the first engine; the next ones take the next ports"`
	Count    int      `arg:"--count,required" help:"number of engines"`
	Prefix   string   `arg:"--prefix" default:"engine" help:"VM ids are PREFIX and a number"`
	Centre   string   `arg:"--centre,required" help:"data centre of the engines"`
	Platform string   `arg:"--platform,required" help:"base URL of the platform that lists them"`
	Versions []string `arg:"--version,separate,required" help:"model@version loaded; may be repeated"`
}

// run lists and serves the engines until ctx ends.
func (c *poolCmd) run(ctx context.Context, log zerolog.Logger) error {
	host, text, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("--listen: port %q is not a number", text)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range c.Count {
		id := c.Prefix + strconv.Itoa(i)
		addr := net.JoinHostPort(host, strconv.Itoa(port+i))
		g := &generator.Generator{ID: id, Incarnation: uint64(time.Now().UnixNano()), Versions: c.Versions}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		s := &http.Server{Handler: g, ReadHeaderTimeout: headerTimeout}
		wg.Go(func() { _ = s.Serve(ln) })
		defer s.Close()
		vm := samphireturn.VM{ID: id, Role: samphireturn.RoleEngine, Centre: c.Centre, Addr: addr}
		if err := listVM(ctx, c.Platform, vm); err != nil {
			return err
		}
	}
	log.Info().Int("engines", c.Count).Msg("listening")
	<-ctx.Done()
	return nil
}

// listVM adds a VM to the VM list of the platform's stand-in.
func listVM(ctx context.Context, platform string, vm samphireturn.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, platform+"/v1/vms/"+url.PathEscape(vm.ID), bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("list VM %s: status %d", vm.ID, res.StatusCode)
	}
	return nil
}
