package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
	"coltsfootloft/stand/child"
	"coltsfootloft/stand/ports"
)

// program is the program, as the deploy file builds and starts it.
const program = "target/coltsfootloft"

// Host is one entry host.
type Host struct {
	// Name is its name, and IP its address.
	Name, IP string
	// Settings are its process settings.
	Settings conf.EntrySettings

	file    string // of the settings
	process *child.Process
}

// startHost starts a host with the settings that the template gives it.
func (r *Rig) startHost(i int) error {
	h := &Host{
		Name: fmt.Sprintf("edge-%d", i+1),
		IP:   fmt.Sprintf("%s.10.%d", r.net, i+1),
	}
	addresses, err := ports.Choose(h.IP, 3)
	if err != nil {
		return errors.Wrap(err, "addresses")
	}
	regions := make(map[string]string)
	for _, d := range append(r.Domains, r.DatabaseDomains...) {
		regions[d] = "region-1"
	}
	h.Settings = conf.EntrySettings{
		Name:         h.Name,
		Domain:       r.Domains[i],
		Listen:       addresses[0],
		Ready:        addresses[1],
		Peer:         addresses[2],
		Store:        r.Store.Listener.Addr().String(),
		Control:      r.Store.Listener.Addr().String(),
		MemoryMB:     r.MemoryMB,
		Cores:        r.Cores,
		Speed:        1,
		WithdrawalMS: 5000,
		DrainMS:      10000,
		GraceS:       6,
		Regions:      regions,
		Policies:     []string{"base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "platform"},
	}
	b, err := json.MarshalIndent(h.Settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	h.file = filepath.Join(r.folder, h.Name+".jsonc")
	if err := os.WriteFile(h.file, b, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	r.Hosts = append(r.Hosts, h)
	return r.startProcess(h)
}

func (r *Rig) startProcess(h *Host) error {
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "COLTSFOOTLOFT_CONFIG=" + h.file}
	var err error
	h.process, err = child.Start(filepath.Join(r.folder, h.Name+".log"), env, program, "entry")
	return errors.Wrap(err, "host")
}

// Restart stops a host with SIGTERM and starts it again.
func (r *Rig) Restart(h *Host) error {
	r.Note("%s is stopped with SIGTERM and started again", h.Name)
	h.process.Signal(syscall.SIGTERM)
	h.process.End()
	return r.startProcess(h)
}

// restartDelay is how long the platform waits before it starts a process again.
const restartDelay = 450 * time.Millisecond

// Kill ends the process of a host with SIGKILL. The platform starts it again after a short delay.
func (r *Rig) Kill(name string) {
	for _, h := range r.Hosts {
		if h.Name != name {
			continue
		}
		r.Note("%s is killed, and started again %s later", name, restartDelay)
		h.kill()
		time.Sleep(restartDelay)
		if err := r.startProcess(h); err != nil {
			r.Note("%s not started: %v", name, err)
		}
	}
}

// kill ends the process.
func (h *Host) kill() {
	if h.process == nil {
		return
	}
	h.process.Signal(syscall.SIGKILL)
	h.process.End()
}

// Await waits until all hosts are ready.
func (r *Rig) Await(ctx context.Context) error {
	const limit, period = 20 * time.Second, 50 * time.Millisecond
	end := time.Now().Add(limit)
	for _, h := range r.Hosts {
		for !h.isReady(ctx) {
			if time.Now().After(end) {
				return errors.Errorf("%s is not ready", h.Name)
			}
			time.Sleep(period)
		}
	}
	r.Note("%d hosts are ready", len(r.Hosts))
	return nil
}

// isReady asks as the platform's balancer does.
func (h *Host) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Settings.Ready+"/v1/ready", http.NoBody)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// Steward returns the host that may order promotions, or nil.
func (r *Rig) Steward() *Host {
	key, ok := r.Store.Get("coltsfootloft/duty/steward")
	for _, h := range r.Hosts {
		if ok && h.Name == string(key.Value) {
			return h
		}
	}
	return nil
}
