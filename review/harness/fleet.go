package harness

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"agateswitch/platform/standin"
)

// ExitBroken, ExitHeld and ExitNotRun are the exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// processes are those that the case has started.
var processes struct {
	sync.Mutex
	all     []*os.Process
	folders []string
}

// cleanUp ends all processes of the case and removes its files.
func cleanUp() {
	processes.Lock()
	defer processes.Unlock()
	for _, process := range processes.all {
		_ = process.Kill()
	}
	for _, folder := range processes.folders {
		os.RemoveAll(folder)
	}
}

// check ends the case if it can't run.
func check(err error) {
	if err != nil {
		Abort(err.Error())
	}
}

// Abort ends a case that can't run, from any goroutine.
func Abort(cause string) {
	log.Print("the case could not run: ", cause)
	cleanUp()
	os.Exit(ExitNotRun)
}

// maxDuration is how long a case may take.
const maxDuration = 115 * time.Second

// Main runs a case and exits with its code. Its record goes to the file that the first argument names.
func Main(run func(record *log.Logger, trouble bool) int) {
	os.Exit(protected(run))
}

func protected(run func(record *log.Logger, trouble bool) int) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "the argument is the file for the record")
		return ExitNotRun
	}
	file, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer file.Close()
	defer cleanUp()
	log.SetOutput(io.MultiWriter(file, os.Stderr))
	time.AfterFunc(maxDuration, func() { Abort("it takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { Abort("signal " + (<-signals).String()) }()
	record := log.New(io.MultiWriter(file, os.Stdout), "", log.Ltime|log.Lmicroseconds)
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("disruption: %v", trouble)
	return run(record, trouble)
}

// Fleet is the processes, links and stand-ins of a case.
type Fleet struct {
	Store   *standin.Store
	Routers []*Router
	folder  string

	mu sync.Mutex
	// links holds the links by the router that uses them and the address that they lead to.
	links map[string]map[string]*Link
}

// Router is a gateway process.
type Router struct {
	Name, Callers, ready string
	peers                string
	command              *exec.Cmd
}

// NewFleet writes the operator's first entries and starts gateways by the command of the deploy file. Stop ends them.
func NewFleet(routers int, entries map[string]any) *Fleet {
	folder, err := os.MkdirTemp("", "review")
	check(err)
	processes.Lock()
	processes.folders = append(processes.folders, folder)
	processes.Unlock()
	f := &Fleet{Store: standin.NewStore(), folder: folder, links: map[string]map[string]*Link{}}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		f.Store.Put(key, entries[key])
	}
	for number := range routers {
		f.Routers = append(f.Routers, f.newRouter(number))
	}
	for _, r := range f.Routers {
		f.start(r)
	}
	return f
}

// freeHost returns an address of the loopback range on which the ports of a router are free.
func freeHost(number int) string {
	for attempt := range 200 {
		host := fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()%150, attempt, number+1)
		free := true
		for port := 7001; port <= 7005 && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if free = err == nil; free {
				listener.Close()
			}
		}
		if free {
			return host
		}
	}
	Abort("no free ports")
	return ""
}

// settingsText is deploy/settings.jsonc, filled in for a small deployment.
const settingsText = `{
  "host": {"id": %q, "datacentre": "arima", "region": "tt-north"},
  "capacity": {"cores": 0.4, "link_mbps": 1000},
  "listen": {"callers": "%[2]s:7001", "readiness": "%[2]s:7002", "directory": "%[2]s:7003", "peers": "%[2]s:7004", "metrics": "%[2]s:7005"},
  "store": %[3]q,
  "peer_key": "agateswitch routers on the users' platform",
  "first_start": false,
  "grace": "8s", "max_directory_ttl": "5s", "change_deadline": "2000ms",
  "retries": {"ratio": 0.2, "extra": 56, "window": "10s"},
  "exposure": {"share": 0.1, "slack": 50},
  "log": {"level": "info", "format": "json"}
}`

func (f *Fleet) newRouter(number int) *Router {
	host := freeHost(number)
	r := &Router{Name: fmt.Sprint("front-", number+1), Callers: host + ":7001", ready: host + ":7002", peers: host + ":7004"}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	f.links[r.Name] = map[string]*Link{}
	go func() { _ = http.Serve(listener, f.viewOf(r.Name)) }()
	settings := fmt.Sprintf(settingsText, r.Name, host, listener.Addr().String())
	check(os.WriteFile(filepath.Join(f.folder, r.Name), []byte(settings), 0o600))
	return r
}

func (f *Fleet) start(r *Router) {
	output, err := os.OpenFile(filepath.Join(f.folder, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	r.command = exec.Command("target/agateswitch", "gateway")
	r.command.Env = append(os.Environ(), "AGATESWITCH_NODE_FILE="+filepath.Join(f.folder, r.Name), "AGATESWITCH_LOAD_BOUND_FACTOR=2")
	r.command.Stdout, r.command.Stderr = output, output
	check(r.command.Start())
	processes.Lock()
	processes.all = append(processes.all, r.command.Process)
	processes.Unlock()
}

// Signal sends a signal to a router.
func (r *Router) Signal(signal syscall.Signal) { _ = r.command.Process.Signal(signal) }

// KillAll kills all routers, and starts them again after some time.
func (f *Fleet) KillAll(downFor time.Duration) {
	for _, r := range f.Routers {
		r.Signal(syscall.SIGKILL)
		_ = r.command.Wait()
	}
	time.Sleep(downFor)
	for _, r := range f.Routers {
		f.start(r)
	}
}

// AwaitReady waits until all routers say that they are ready.
func (f *Fleet) AwaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, r := range f.Routers {
		for !isReady(r) {
			if time.Now().After(deadline) {
				Abort(r.Name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func isReady(r *Router) bool {
	response, err := http.Get("http://" + r.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop ends all processes and removes their files, unless REVIEW_KEEP names a folder for their logs.
func (f *Fleet) Stop() {
	for _, r := range f.Routers {
		r.Signal(syscall.SIGCONT)
		r.Signal(syscall.SIGKILL)
		_ = r.command.Wait()
		if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
			if content, err := os.ReadFile(filepath.Join(f.folder, r.Name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, r.Name+".log"), content, 0o600)
			}
		}
	}
	os.RemoveAll(f.folder)
}

// Link returns the link by which a router reaches an address.
func (f *Fleet) Link(router, address string) *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, found := f.links[router][address]
	if !found {
		l = NewLink(address)
		f.links[router][address] = l
	}
	return l
}

// Part cuts one router off from all others, or ends that.
func (f *Fleet) Part(router *Router, state LinkState) {
	for _, other := range f.Routers {
		if other != router {
			f.Link(router.Name, other.peers).Set(state)
			f.Link(other.Name, router.peers).Set(state)
		}
	}
}

// viewOf returns the store as one router sees it. The addresses in it are those of the router's own links.
func (f *Fleet) viewOf(router string) http.Handler {
	store := f.Store.HandlerFor(router)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
		store.ServeHTTP(answer, r)
		text := answer.body.Bytes()
		var body map[string]any
		if json.Unmarshal(text, &body) == nil {
			f.replaceAddresses(router, body)
			if changed, err := json.Marshal(body); err == nil {
				text = changed
			}
		}
		maps.Copy(w.Header(), answer.header)
		w.WriteHeader(answer.status)
		// An error means that the router has gone.
		_, _ = w.Write(text)
	})
}

type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldAnswer) Header() http.Header            { return h.header }
func (h *heldAnswer) WriteHeader(status int)         { h.status = status }
func (h *heldAnswer) Write(text []byte) (int, error) { return h.body.Write(text) }

// replaceAddresses replaces the addresses in an item, or in the items of a list.
func (f *Fleet) replaceAddresses(router string, body map[string]any) {
	for _, name := range []string{"items", "events"} {
		list, _ := body[name].([]any)
		for _, element := range list {
			if item, isItem := element.(map[string]any); isItem {
				f.replaceAddresses(router, item)
			}
		}
	}
	encoded, _ := body["value"].(string)
	value, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil || encoded == "" {
		return
	}
	key, _ := body["key"].(string)
	body["value"] = base64.StdEncoding.EncodeToString([]byte(f.replaceIn(router, key, string(value))))
}

func (f *Fleet) replaceIn(router, key, value string) string {
	if strings.HasPrefix(key, "servers/") {
		var entry struct {
			Address string `json:"address"`
		}
		if json.Unmarshal([]byte(value), &entry) == nil && entry.Address != "" {
			value = strings.ReplaceAll(value, entry.Address, f.Link(router, entry.Address).Address())
		}
	}
	for _, other := range f.Routers {
		if other.Name != router && strings.HasSuffix(key, "/"+other.Name) {
			value = strings.ReplaceAll(value, other.peers, f.Link(router, other.peers).Address())
		}
	}
	return value
}
