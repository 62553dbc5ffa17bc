// Package rig starts routers as processes of their own, with the command and the settings of the deploy file, before
// stand-ins of the platform's store and of its engines, and records what clients and engines see.
package rig

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"agateswitch/platform/standin"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Host is the host name of all requests.
const Host = "rounds.example"

// MemoryMB is the memory of a machine, as on the users' smallest sites.
const MemoryMB = 284

// readyTimeout bounds the wait for a router that starts. It takes a fraction of a second.
const readyTimeout = 20 * time.Second

// maxTime bounds a run.
const maxTime = 115 * time.Second

// restartDelay is the platform's delay before it starts a process that has ended again.
const restartDelay = 500 * time.Millisecond

// Rig is one run of a case: the stand-ins, the routers and the record.
type Rig struct {
	Store *standin.Store
	// Trouble is false in a run without the disruption.
	Trouble bool
	// Fields replaces some fields of the settings, which are otherwise those of hoofline-tt.
	Fields map[string]any

	directory string
	started   time.Time
	mu        sync.Mutex
	record    *os.File
	routers   []*Router
	version   int
}

// New returns a rig that writes record.txt into a directory.
func New(directory string) *Rig {
	record, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot write the record:", err)
		os.Exit(CannotRun)
	}
	temporary, err := os.MkdirTemp("", "agateswitch-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot make a temporary directory:", err)
		os.Exit(CannotRun)
	}
	r := &Rig{Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", directory: temporary, started: time.Now(), record: record}
	r.Note("the disruption is played: %v", r.Trouble)
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	time.AfterFunc(maxTime, func() { r.End(CannotRun, "cannot run: not done after %s", maxTime) })
	go func() { r.End(CannotRun, "cannot run: stopped by a signal: %s", <-stops) }()
	return r
}

// Note writes a line to the record, with the seconds since the start.
func (r *Rig) Note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// End notes the outcome, ends all routers and exits.
func (r *Rig) End(code int, format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	r.Note("outcome %d: %s", code, line)
	for _, router := range r.routers {
		router.Kill()
	}
	_ = os.RemoveAll(r.directory)
	fmt.Println(line)
	os.Exit(code)
}

// Check ends the case as one that could not run if there is an error.
func (r *Rig) Check(err error, what string) {
	if err != nil {
		r.End(CannotRun, "cannot run: %s: %s", what, err)
	}
}

// Serve serves a handler at a free loopback address and returns it.
func (r *Rig) Serve(handler http.Handler) string {
	address, _ := r.ServeUntil(handler)
	return address
}

// ServeUntil serves a handler at a free loopback address until stop is called, which also ends its connections.
func (r *Rig) ServeUntil(handler http.Handler) (address string, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err, "listening for a stand-in")
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}

// Configure writes the next desired state.
func (r *Rig) Configure(routes, services, tenants []any) {
	r.mu.Lock()
	r.version++
	version := r.version
	r.mu.Unlock()
	r.Store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	r.Note("the store has acknowledged version %d of the desired state", version)
}

// Route returns a route of the desired state under /NAME/.
func Route(name, service, kind string, attempts int, timeout, target time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": target.Milliseconds(), "priority": 1, "service": service, "max_attempts": attempts, "public": false,
		"sticky": kind == "streaming", "resumable": false, "gap_target_ms": 250,
	}
}

// Register writes the entry of an engine.
func (r *Rig) Register(id, service, zone, version, address, state string, born, seq int64, slots int) {
	r.Store.Put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": version, "slots": slots, "state": state,
		"cold_remaining_ms": 0, "born": born, "seq": seq,
	})
}

// Router is a router process and its addresses.
type Router struct {
	Name, Zone                    string
	Front, Ready, Directory, Peer string

	rig      *Rig
	settings string
	log      *os.File
	mu       sync.Mutex
	command  *exec.Cmd
}

// NewRouter writes a router's settings as the platform does. The router reaches the store at the given address.
func (r *Rig) NewRouter(name, zone, store string, bootstrap bool) *Router {
	number := len(r.routers)
	ip := fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()%200, os.Getpid()/200%250, number+1)
	ports := freePorts(r, ip, 5)
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	router := &Router{Name: name, Zone: zone, Front: address(0), Ready: address(1), Directory: address(2), Peer: address(3), rig: r}
	fields := map[string]any{
		"node_name": name, "zone": zone, "region": "tt-north", "ip": ip, "bootstrap": bootstrap,
		"limits.cpu_share": 0.4, "limits.link_mbps": 1000.0, "limits.memory_mb": MemoryMB, "limits.max_fds": 4100,
		"listen.front": address(0), "listen.ready": address(1), "listen.directory": address(2),
		"internal_ports.0": ports[3], "internal_ports.1": ports[4], "platform.address": store,
		"bounds.grace_s": 8, "bounds.ttl_max_s": 5, "bounds.drain_ms": 2000, "bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 56,
		"bounds.budget_window_s": 10, "bounds.exposure_share": 0.1, "bounds.exposure_slack": 50,
	}
	maps.Copy(fields, r.Fields)
	template, err := os.ReadFile("deploy/settings.jsonc")
	r.Check(err, "reading the template of the settings")
	router.settings = filepath.Join(r.directory, name+".jsonc")
	r.Check(os.WriteFile(router.settings, []byte(fill(string(template), fields)), 0o600), "writing settings")
	router.log, err = os.Create(filepath.Join(r.directory, name+".log"))
	r.Check(err, "creating a log")
	r.routers = append(r.routers, router)
	return router
}

// freePorts returns free ports of an address.
func freePorts(r *Rig, ip string, count int) []int {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		r.Check(err, "finding a free port")
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#cloud\.address\}\}.*\{\{/cloud\.address\}\}\n`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fill fills in the template of the settings. The platform has no cloud here, so that its section is left out.
func fill(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(section.ReplaceAllString(template, ""), func(found string) string {
		match := placeholder.FindStringSubmatch(found)
		value := fields[match[1]]
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(encoded)
	})
}

// Start starts the process with the command of the deploy file.
func (p *Router) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command("target/agateswitch", "gateway")
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AGATESWITCH_NODE_FILE=" + p.settings, "AGATESWITCH_LOAD_BOUND_FACTOR=2"}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.rig.Check(p.command.Start(), "starting "+p.Name)
	p.rig.Note("%s starts as process %d", p.Name, p.command.Process.Pid)
}

// AwaitReady waits until the router says that it is ready.
func (p *Router) AwaitReady() {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + p.Ready + "/v1/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				p.rig.Note("%s is ready", p.Name)
				return
			}
		}
		if time.Now().After(deadline) {
			p.rig.End(CannotRun, "cannot run: %s is not ready", p.Name)
		}
	}
}

// Process returns the running process; nil if there is none.
func (p *Router) Process() *os.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	return p.command.Process
}

// Kill ends the process at once and waits for its end.
func (p *Router) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.command = nil
}

// Log returns what the process has logged.
func (p *Router) Log() string {
	text, _ := os.ReadFile(p.log.Name())
	return string(text)
}

// UsedMB returns the resident memory of the process, in MB; 0 if there is no process.
func (p *Router) UsedMB() float64 {
	process := p.Process()
	if process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kB float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kB); err == nil {
			return kB / 1024
		}
	}
	return 0
}

// Restart starts the process again, as the platform does after a short delay. The whole system does not start for the first time.
func (p *Router) Restart() {
	text, err := os.ReadFile(p.settings)
	p.rig.Check(err, "reading settings")
	text = []byte(strings.Replace(string(text), `"first_start": true`, `"first_start": false`, 1))
	p.rig.Check(os.WriteFile(p.settings, text, 0o600), "writing settings")
	time.Sleep(restartDelay)
	p.Start()
}
