// Package stand runs the project's node processes on loopback against stand-ins of
// the platform and of backends, for the cases of the review.
//
// Every host has a loopback address of its own. The nodes are started with the
// command and the settings template of the deploy file, and restarted by a Supervisor
// as the platform does.
//
// # Usage
//
//	w, err := stand.NewWorld()
//	defer w.Close()
//	w.PutConfiguration(stand.Configuration(routes...))
//	h, err := w.AddHost("north", "logview")
//	err = h.StartNode()
package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"savorygap.example/platform/platformtest"
)

const (
	memoryMegabytes = 284
	graceSeconds    = 6
	// restartDelay is how long the platform waits before it starts an ended process again.
	restartDelay = 500 * time.Millisecond
	readyTimeout = 15 * time.Second
	stopTimeout  = 3 * time.Second
)

// World is one deployment on loopback: the store, the hosts and the record.
type World struct {
	root      string
	dir       string
	subnet    string
	hosts     []*Host
	record    *Record
	storeAddr string
	stopStore func()
	Store     *platformtest.Store
}

// NewWorld starts the store. The current folder must be that of the case; the record
// is written there.
func NewWorld() (*World, error) {
	root, err := filepath.Abs(os.Getenv("REPOSITORY"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := NewRecord("record.txt")
	if err != nil {
		return nil, err
	}
	w := &World{root: root, dir: dir, record: record, Store: platformtest.NewStore(), stopStore: func() {}}
	w.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	if w.storeAddr, w.stopStore, err = w.Store.Start(); err != nil {
		return nil, err
	}
	return w, nil
}

// Record returns the record of the run.
func (w *World) Record() *Record { return w.record }

// Hosts returns the hosts.
func (w *World) Hosts() []*Host { return w.hosts }

// Close ends all processes that the world started and removes its folder.
func (w *World) Close() {
	for _, h := range w.hosts {
		h.end()
	}
	w.stopStore()
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// Host is a host with a node process.
type Host struct {
	world    *World
	name     string
	ip       string
	zone     string
	service  string
	settings string
	storeVia string
	serverAt string
	ports    map[string]string
	node     atomic.Pointer[node]
	stopping atomic.Bool
	memory   atomic.Bool
	peakRSS  atomic.Int64
	ends     atomic.Int64
}

type node struct {
	command *exec.Cmd
	exited  chan struct{}
}

// AddHost adds a host in a zone, next to a backend of the service.
func (w *World) AddHost(zone, service string) (*Host, error) {
	h := &Host{world: w, name: fmt.Sprintf("sidecar-%s-%d", zone, len(w.hosts)+1), ip: fmt.Sprintf("%s.%d", w.subnet, len(w.hosts)+1), zone: zone, service: service, storeVia: w.storeAddr}
	h.ports = map[string]string{}
	for _, name := range []string{"callers", "links", "ready", "announcements", "server"} {
		address, err := FreeAddress(h.ip)
		if err != nil {
			return nil, err
		}
		h.ports[name] = address
	}
	h.serverAt = h.ports["server"]
	w.hosts = append(w.hosts, h)
	return h, nil
}

// FreeAddress returns an address with a free port.
func FreeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// Name returns the name of the host.
func (h *Host) Name() string { return h.name }

// Zone returns the zone of the host.
func (h *Host) Zone() string { return h.zone }

// Service returns the service of the settings.
func (h *Host) Service() string { return h.service }

// Callers returns the address for clients.
func (h *Host) Callers() string { return h.ports["callers"] }

// Announcements returns the address for heartbeats.
func (h *Host) Announcements() string { return h.ports["announcements"] }

// Server returns the address of the backend.
func (h *Host) Server() string { return h.ports["server"] }

// Ends returns how often the process ended without being stopped.
func (h *Host) Ends() int { return int(h.ends.Load()) }

// PeakRSS returns the largest resident size that was seen, in megabytes.
func (h *Host) PeakRSS() int { return int(h.peakRSS.Load() >> 20) }

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file.
func (h *Host) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(h.world.root, "deploy", "settings.yaml"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"NodeId": h.name, "Ip": h.ip, "Zone": h.zone, "Region": "mu-north", "Service": h.service, "AppAddr": h.serverAt,
		"Limits.MemoryMb": fmt.Sprint(memoryMegabytes), "Limits.LinkMbps": "1000.0",
		"Listen.Outbound": h.ports["callers"], "Listen.Inbound": h.ports["links"], "Listen.ReadyAddr": h.ports["ready"], "Listen.Control": h.ports["announcements"],
		"Platform.Address": h.storeVia, "Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetMinRetries": "58", "Bounds.BudgetWindowS": "10", "Bounds.GraceS": fmt.Sprint(graceSeconds),
	}
	var missing []string
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			missing = append(missing, m[1])
		}
		if m[2] != "" {
			return fmt.Sprintf("%q", v)
		}
		return v
	})
	if len(missing) > 0 {
		return fmt.Errorf("settings template names %s", strings.Join(missing, ", "))
	}
	h.settings = filepath.Join(h.world.dir, h.name+".settings")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// StartNode starts the node process and supervises it: it is started again when it
// ends, and killed when it exceeds its memory.
func (h *Host) StartNode() error {
	if err := h.writeSettings(); err != nil {
		return err
	}
	return h.start()
}

func (h *Host) start() error {
	log, err := os.OpenFile(filepath.Join(h.world.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/savorygap-node", "run")
	command.Dir = h.world.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYGAP_SETTINGS=" + h.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n := &node{command: command, exited: make(chan struct{})}
	h.node.Store(n)
	go h.watchMemory(n)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(n.exited)
		if h.stopping.Load() {
			return
		}
		h.ends.Add(1)
		h.world.record.Add("node %s ended: %s", h.name, command.ProcessState)
		time.Sleep(restartDelay)
		if h.stopping.Load() {
			return
		}
		if err := h.start(); err != nil {
			h.world.record.Add("node %s is not started again: %v", h.name, err)
			return
		}
		h.world.record.Add("node %s is started again", h.name)
	}()
	return nil
}

// watchMemory kills the process when its resident size exceeds the host's memory.
func (h *Host) watchMemory(n *node) {
	path := fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid)
	for {
		select {
		case <-n.exited:
			return
		case <-time.After(5 * time.Millisecond):
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return
		}
		var size, resident int64
		if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
			return
		}
		bytes := resident * int64(os.Getpagesize())
		if bytes > h.peakRSS.Load() {
			h.peakRSS.Store(bytes)
		}
		if bytes > memoryMegabytes<<20 {
			h.world.record.Add("node %s exceeds its memory: %d MB resident, limit %d MB; killed as the platform does", h.name, bytes>>20, memoryMegabytes)
			_ = n.command.Process.Kill()
			return
		}
	}
}

// Signal sends a signal to the node process.
func (h *Host) Signal(s syscall.Signal) error {
	return h.node.Load().command.Process.Signal(s)
}

// Kill ends the node process with SIGKILL; the platform starts it again.
func (h *Host) Kill() error { return h.Signal(syscall.SIGKILL) }

func (h *Host) end() {
	h.stopping.Store(true)
	n := h.node.Load()
	if n == nil {
		return
	}
	_ = n.command.Process.Kill()
	select {
	case <-n.exited:
	case <-time.After(stopTimeout):
	}
}

// Ready reports whether the node answers the readiness probe with 200.
func (h *Host) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return platformtest.IsReady(ctx, http.DefaultClient, h.ports["ready"])
}

// AwaitReady waits until all nodes are ready.
func (w *World) AwaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, h := range w.hosts {
		for !h.Ready() {
			if time.Now().After(until) {
				return errors.New(h.name + " does not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// LoadItems writes the items of a JSON file, keys and values, to the store.
func (w *World) LoadItems(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var items map[string]json.RawMessage
	if err := json.Unmarshal(text, &items); err != nil {
		return err
	}
	for key, value := range items {
		w.Store.Put(key, value)
	}
	return nil
}
