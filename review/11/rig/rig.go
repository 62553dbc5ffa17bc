// Package rig starts routers as processes of their own, with stand-ins of the users' platform on loopback addresses, and records
// what a case sends, gets and runs.
package rig

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"agateswitch/platform/standin"
)

// Exit codes of a case.
const (
	Held        = 0
	Broken      = 1
	CouldNotRun = 2
)

// Host is the host of all routes, Tenant the name of the first tenant and Key its key.
const (
	Host   = "farrier.example"
	Tenant = "hule930"
	Key    = "n2ctnfzs989anu6wsjnb"
)

const (
	// longestRun ends a case that hangs: a case may run for 120 s.
	longestRun = 115 * time.Second
	// startTimeout bounds the wait for a router's first desired state.
	startTimeout = 10 * time.Second
	pollInterval = 10 * time.Millisecond
)

// HasTrouble reports whether the case plays its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Fleet is the routers, the store and the record of a case.
type Fleet struct {
	Store *standin.Store
	// Capacity is the settings' line on what a host has.
	Capacity string
	// Routes, Services and Tenants are those of the next desired state.
	Routes, Services, Tenants []any

	began   time.Time
	folder  string
	version int
	routers []*Router

	mu     sync.Mutex
	record *os.File
}

// New returns a fleet without routers, whose hosts have the limits of the sheet of Hoofline. It creates record.txt in the folder in
// which the case was started.
func New() *Fleet {
	record, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNotRun)
	}
	f := &Fleet{
		Store: standin.NewStore(), Capacity: `{"cores": 0.4, "link_mbps": 1000, "memory_mb": 284, "descriptors": 4100}`,
		Tenants: []any{map[string]any{"name": Tenant, "api_keys": []string{Key}}}, began: time.Now(), record: record,
	}
	if f.folder, err = os.MkdirTemp("", "agateswitch-review-"); err != nil {
		f.Fail("no temporary folder: %v", err)
	}
	time.AfterFunc(longestRun, func() { f.Fail("not finished after %s", longestRun) })
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	go func() { f.Fail("stopped by signal %v", <-stops) }()
	return f
}

// Printf adds a line to the record.
func (f *Fleet) Printf(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, values...))
}

// Fail ends a case that could not run.
func (f *Fleet) Fail(format string, values ...any) {
	f.End(CouldNotRun, "could not run: "+fmt.Sprintf(format, values...))
}

// End ends all processes and the case, with a last line that is also printed.
func (f *Fleet) End(code int, conclusion string) {
	f.Printf("%s", conclusion)
	fmt.Println(conclusion)
	for _, r := range f.routers {
		r.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, r := range f.routers {
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(r.log)), []byte(r.Log()), 0o600)
		}
	}
	_ = os.RemoveAll(f.folder)
	os.Exit(code)
}

// Configure writes the next desired state.
func (f *Fleet) Configure() {
	f.version += 3
	f.Store.Put("op/config", map[string]any{
		"version": f.version, "routes": f.Routes, "services": f.Services, "tenants": f.Tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// Route returns a route of the desired state, whose path prefix is its name.
func Route(name, service, kind string, timeout, target time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "path_prefix": "/" + name + "/", "kind": kind, "service": service, "max_attempts": 1, "priority": 1,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": target.Milliseconds(), "gap_target_ms": 250, "sticky": kind == "streaming",
	}
}

// Service returns a service of the desired state. A model service has engines of the sheet of Hoofline.
func Service(name string, isModel bool) map[string]any {
	service := map[string]any{"name": name, "health_path": "/healthz", "max_connections": 370}
	if isModel {
		service["engine"] = map[string]any{"slots": 64, "kv_capacity_tokens": 345666}
	}
	return service
}

// Engine starts an engine, which registers under an id, and returns its address.
func (f *Fleet) Engine(service, id, zone string, handler http.Handler) string {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fail("no port for an engine: %v", err)
	}
	go func() { _ = http.Serve(socket, f.expecting(id, handler)) }()
	address := socket.Addr().String()
	f.Store.Put("servers/"+id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"born": time.Now().UnixMilli(), "seq": 1,
	})
	return address
}

// expecting answers calls that are meant for another engine, and echoes the request's id in the answers to others.
func (f *Fleet) expecting(id string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/v1/kv-list" {
			_, _ = io.WriteString(w, `{"epoch":1,"next":1,"held":[]}`)
			return
		}
		w.Header().Set("Engine-Signature", "3e1b.07."+id)
		handler.ServeHTTP(w, r)
	})
}

// Router is a router process.
type Router struct {
	Number int
	// Callers is the address for callers.
	Callers string

	fleet         *Fleet
	log, settings string
	command       *exec.Cmd
	ended         chan struct{}
}

// Add prepares a router in a zone, without starting it.
func (f *Fleet) Add(zone string) *Router {
	const ports = 5
	number := len(f.routers) + 1
	// A loopback address of its own keeps the ports of a router free from connections of others.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 20+pid%200, pid/200%250, number)
	var addresses [ports]string
	for i := range addresses {
		socket, err := net.Listen("tcp", ip+":0")
		if err != nil {
			f.Fail("no port for a router: %v", err)
		}
		defer socket.Close()
		addresses[i] = socket.Addr().String()
	}
	store, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fail("no port for the store: %v", err)
	}
	go func() { _ = http.Serve(store, f.Store.HandlerFor(strconv.Itoa(number))) }()
	r := &Router{Number: number, Callers: addresses[0], fleet: f}
	r.settings = filepath.Join(f.folder, fmt.Sprintf("front-%d.jsonc", number))
	r.log = filepath.Join(f.folder, fmt.Sprintf("front-%d.log", number))
	text := fmt.Sprintf(`{
  "host": {"id": "front-%d", "datacentre": %q, "region": "tt-north"},
  "capacity": %s,
  "listen": {"callers": %q, "readiness": %q, "directory": %q, "peers": %q, "metrics": %q},
  "store": %q,
  "peer_key": "agateswitch routers on the users' platform",
  "first_start": true, "grace": "8s", "max_directory_ttl": "5s", "change_deadline": "2000ms",
  "retries": {"ratio": 0.2, "extra": 56, "window": "10s"},
  "exposure": {"share": 0.1, "slack": 50},
  "log": {"level": "info", "format": "json"}
}
`, number, zone, f.Capacity, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], store.Addr())
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		f.Fail("no settings file: %v", err)
	}
	f.routers = append(f.routers, r)
	return r
}

// Start starts the process of a router with the command of the deploy file.
func (r *Router) Start() {
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.fleet.Fail("no log: %v", err)
	}
	defer out.Close()
	r.command = exec.Command(filepath.Join(os.Getenv("REVIEW_ROOT"), "target", "agateswitch"), "gateway")
	r.command.Env = append(os.Environ(), "AGATESWITCH_NODE_FILE="+r.settings, "AGATESWITCH_LOAD_BOUND_FACTOR=2")
	r.command.Stdout, r.command.Stderr = out, out
	if err := r.command.Start(); err != nil {
		r.fleet.Fail("router %d did not start: %v", r.Number, err)
	}
	r.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(r.command, r.ended)
	r.fleet.Printf("router %d started", r.Number)
}

// AwaitState waits until the router has a desired state.
func (r *Router) AwaitState() {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if strings.Contains(r.Log(), "desired state in force") {
			return
		}
	}
	r.fleet.Fail("router %d has no desired state: %s", r.Number, r.Log())
}

// Log returns what the router has written.
func (r *Router) Log() string {
	content, err := os.ReadFile(r.log)
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(content))
}

// HasEnded reports whether the process has ended.
func (r *Router) HasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// MemoryKB returns the largest resident set that the process has had, or 0 once it has ended.
func (r *Router) MemoryKB() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if name, value, _ := strings.Cut(line, ":"); name == "VmHWM" {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				r.fleet.Fail("no size in %q", line)
			}
			return kilobytes
		}
	}
	return 0
}

func (r *Router) kill() {
	if r.command == nil || r.command.Process == nil {
		return
	}
	// A process that has ended can't be killed.
	_ = r.command.Process.Kill()
	<-r.ended
}

// Answer is what a caller got: an incomplete one has an error.
type Answer struct {
	Status int
	Body   string
	Err    error
	Took   time.Duration
}

// NewClient returns a client that keeps its connections. Answers are as they come.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
}

// Send sends a request of the tenant to a router, and waits for its whole answer.
func (r *Router) Send(client *http.Client, path, id, body string, header map[string]string) Answer {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+r.Callers+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = Host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("X-Api-Key", Key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(text), Err: err, Took: time.Since(began)}
}
