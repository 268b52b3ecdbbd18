package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/process"
)

// cluster is the system under test: boxes as processes, each with a proxy in front of it and one
// to the store, and engines and services in this process, behind proxies.
type cluster struct {
	boxes        []*soakBox
	storeOutages []interval // when the store was faulty
	changes      []change   // versions of the configuration, in order
	cold         bool       // upstreams are cold when they start
	evacuations  []evacuation
	// evacuating are the halls that are being evacuated.
	evacuating     map[byte]bool
	configVersion  int // the latest version of the configuration
	directory      string
	halls          string // one letter for each hall
	memoryMB       int    // of each box; 0 for no limit
	logs           *logFile
	mutex          sync.Mutex // guards changes, configVersion, crashes, endedUpstreams, evacuating, evacuations, harnessErrors, sequence, storeOutages and upstreams
	crashes        []crash
	endedUpstreams []*soakUpstream // upstreams that have ended
	platform       *fakeplatform.Platform
	retryExtra     int // retries in a window, of all boxes together, that do not depend on the number of requests
	programFolder  string
	storeServer    *httptest.Server
	harnessErrors  []error // failures of the soak itself, as opposed to violations
	upstreams      map[string]*soakUpstream
	sequence       int // last number given to a version of the configuration or to a replacement upstream
	workers        sync.WaitGroup
}

// soakBox is a box with its proxies and its settings file.
type soakBox struct {
	disturbedAt  []time.Time // when it was killed, stopped, started, paused or resumed
	entryProxy   *proxy      // between callers and the box
	metrics      string      // address of its metrics
	mutex        sync.Mutex  // guards disturbedAt and process
	name         string
	process      *process.Process
	settings     string // path of its settings file
	settingsText string // the file's content, except for the source of connections to upstreams
	storeProxy   *proxy // between the box and the store
}

// soakUpstream is an engine or a service.
type soakUpstream struct {
	cold        interval // when it is cold
	engine      *routed.Engine
	leaving     bool   // it has announced that it is leaving; guarded by the cluster's mutex
	listedState string // state in its row of the store; guarded by the cluster's mutex
	name        string
	proxy       *proxy
	server      *httptest.Server
	service     string
}

const (
	boxCount          = 4               // in two halls
	onceTimeout       = 2 * time.Second // of the route of requests that may run once
	wideBoxCount      = 9               // in three halls
	engineCount       = 4
	serviceDesk       = "desk"
	serviceLLM        = "llm"
	undeclaredService = "none" // not declared, so that a box that knows a route to it refuses with service_unknown at once
	soakHost          = "soak.example"
	soakKey           = "soak-key"
	serviceCount      = 2
)

// newCluster starts a cluster in two data halls or, if it is wide, in three.
func newCluster(programs string, cold, wide bool, retryExtra, memoryMB int) (*cluster, error) {
	d, err := os.MkdirTemp("", "linetiller-soak-")
	if err != nil {
		return nil, err
	}
	w := &cluster{cold: cold, directory: d, halls: "ab", logs: newLogFile(filepath.Join(d, "boxes.log")), evacuating: make(map[byte]bool), memoryMB: memoryMB, platform: fakeplatform.New(), programFolder: programs, retryExtra: retryExtra, upstreams: make(map[string]*soakUpstream)}
	if wide {
		w.halls = "abc"
	}
	w.storeServer = httptest.NewServer(w.platform)
	w.configure()
	for i := range engineCount {
		if err := w.startUpstream(fmt.Sprintf("i-%c%d", w.halls[i%len(w.halls)], i), serviceLLM); err != nil {
			return nil, err
		}
	}
	for i := range serviceCount {
		if err := w.startUpstream(fmt.Sprintf("s-%c%d", w.halls[i%len(w.halls)], i), serviceDesk); err != nil {
			return nil, err
		}
	}
	boxes := boxCount
	if wide {
		boxes = wideBoxCount
	}
	for i := range boxes {
		if err := w.addBox(i); err != nil {
			w.close(false)
			return nil, err
		}
	}
	return w, nil
}

// addBox creates a box with its proxies and starts it.
func (w *cluster) addBox(i int) error {
	b := &soakBox{name: fmt.Sprintf("box-%c%d", w.halls[i%len(w.halls)], i)}
	w.boxes = append(w.boxes, b)
	addresses, err := freeAddresses(6)
	if err != nil {
		return err
	}
	if b.storeProxy, err = newProxy(w.storeServer.Listener.Addr().String()); err != nil {
		return err
	}
	b.metrics = addresses[5]
	if b.entryProxy, err = newProxy(addresses[3]); err != nil {
		return err
	}
	b.settings = filepath.Join(w.directory, b.name+".toml")
	s := fmt.Sprintf(`box = %q
hall = "%c"
links = "plain"
box_address = %q
client_address = %q
operator_address = %q
platform = "http://%s"
[entry]
address = %q
readiness = %q
metrics = %q
[budget]
extra = %d
ratio = %g
window = "%s"
[cold]
slack = %d
[limits]
memory_mb = %d
[timeouts]
platform = "1s"
drain = "500ms"
leave = "3s"
`, b.name, w.halls[i%len(w.halls)], addresses[0], addresses[1], addresses[2], b.storeProxy.address(), addresses[3], addresses[4], addresses[5], w.retryExtra, retryRatio, retryWindow, coldSlack, w.memoryMB)
	b.settingsText = s
	if err := b.writeSettings(""); err != nil {
		return err
	}
	if err := w.startBox(b); err != nil {
		return fmt.Errorf("%w; another process may be using one of %v", err, addresses)
	}
	return nil
}

// addHarnessError records that the soak itself failed to do something.
func (w *cluster) addHarnessError(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.harnessErrors = append(w.harnessErrors, err)
}

// close ends everything that was started. It keeps the directory with the logs if keep is set.
func (w *cluster) close(keep bool) {
	for _, b := range w.boxes {
		b.mutex.Lock()
		if b.process != nil {
			_ = b.process.Signal(syscall.SIGCONT) // it may be paused; an error means that it has ended
			b.process.Kill()
		}
		b.mutex.Unlock()
		b.entryProxy.close()
		b.storeProxy.close()
	}
	for _, u := range append(w.liveUpstreams(), w.endedUpstreams...) {
		u.engine.Crash()
		u.proxy.close()
		u.server.CloseClientConnections()
		u.server.Close()
	}
	w.storeServer.CloseClientConnections()
	w.storeServer.Close()
	w.workers.Wait()
	w.logs.close()
	if !keep {
		_ = os.RemoveAll(w.directory)
	}
}

// configure writes a new version of the configuration.
func (w *cluster) configure() {
	w.mutex.Lock()
	defer w.mutex.Unlock() // held during the write, so that versions are written in order
	w.sequence++
	w.configVersion = w.sequence
	x := change{version: w.configVersion, writtenAt: time.Now()}
	w.putConfiguration(w.configVersion)
	x.acknowledgedAt = time.Now()
	w.changes = append(w.changes, x)
}

// engineAt returns the engine whose proxy listens at an address, or nil if there is none.
func (w *cluster) engineAt(address string) *routed.Engine {
	for _, u := range w.liveUpstreams() {
		if u.proxy.address() == address {
			return u.engine
		}
	}
	return nil
}

// faultFree reports whether a box, its proxies and the store had no fault between two times.
func (w *cluster) faultFree(b *soakBox, from, to time.Time) bool {
	return b.undisturbed(from, to) && !b.storeProxy.faultyWithin(from, to) && !b.entryProxy.faultyWithin(from, to) && w.storeOutageDuration(from, to) == 0
}

// findBox returns the box of a name, or nil if there is none.
func (w *cluster) findBox(name string) *soakBox {
	for _, b := range w.boxes {
		if b.name == name {
			return b
		}
	}
	return nil
}

// liveUpstreams returns the upstreams that have not ended.
func (w *cluster) liveUpstreams() []*soakUpstream {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var l []*soakUpstream
	for _, u := range w.upstreams {
		l = append(l, u)
	}
	return l
}

// publishUpstream changes the state of an upstream's row in the store.
func (w *cluster) publishUpstream(u *soakUpstream, state string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	u.listedState = state
	w.putUpstream(u)
}

// putConfiguration writes a version of the configuration; the lock is held.
func (w *cluster) putConfiguration(v int) {
	route := `{"name":%q,"host":"` + soakHost + `","path_prefix":"/%s/","kind":%q,"timeout_ms":%d,"target_latency_ms":1800,"priority":0,"service":%q,"max_attempts":%d,"resumable":%v}`
	w.platform.Put("op/config", json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[`+
		fmt.Sprintf(route, "plan", "plan", "streaming", 20_000, serviceLLM, 1, false)+","+
		fmt.Sprintf(route, "check", "check", "streaming", 20_000, serviceLLM, 2, true)+","+
		fmt.Sprintf(route, "once", "once", "unsafe", onceTimeout.Milliseconds(), serviceDesk, 1, false)+","+
		fmt.Sprintf(route, "often", "often", "safe", 2000, serviceDesk, 2, false)+","+
		fmt.Sprintf(route, "extra", fmt.Sprintf("extra%d", v), "safe", 2000, serviceDesk, 2, false)+","+
		fmt.Sprintf(route, "probe", fmt.Sprintf("probe%d", v), "safe", 2000, undeclaredService, 2, false)+
		`],"services":[{"name":"llm","engine":{"slots":64,"kv_tokens":34545,"kv_bytes":18432,"link_mbps":2700.0,"moves":true,"stride":4,"models":[{"name":"m"}]},"cold_per_s":%d},{"name":"desk","cold_per_s":%d}],
"tenants":[{"name":"w","api_keys":[%q]}]}`, v, w.declaredColdRate(), w.declaredColdRate(), soakKey)))
}

// putUpstream writes an upstream's row to the store; the lock is held.
func (w *cluster) putUpstream(u *soakUpstream) {
	left := max(0, time.Until(u.cold.to).Milliseconds())
	w.platform.Put("servers/"+u.name, json.RawMessage(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"%c","state":%q,"cold_left_ms":%d,"models":[{"name":"m"}]}`, u.service, u.proxy.address(), u.name[2], u.listedState, left)))
}

// removeUpstream ends an upstream and then removes its row from the store.
func (w *cluster) removeUpstream(u *soakUpstream) {
	w.mutex.Lock()
	ended := w.upstreams[u.name] != u
	if !ended {
		delete(w.upstreams, u.name)
		w.endedUpstreams = append(w.endedUpstreams, u)
	}
	w.mutex.Unlock()
	if ended {
		return // another fault has ended it already
	}
	u.engine.Crash()
	u.server.CloseClientConnections()
	u.proxy.resetConnections()
	w.platform.Remove("servers/" + u.name)
}

func (w *cluster) startBox(b *soakBox) error {
	p, _, err := process.StartBox(filepath.Join(w.programFolder, "linetiller"), b.settings, b.name, w.logs)
	if err != nil {
		return err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.process = p
	b.disturbedAt = append(b.disturbedAt, time.Now())
	return nil
}

func (w *cluster) startUpstream(name, service string) error {
	s := routed.DefaultSettings()
	s.EventInterval, s.CopyPerToken = 10*time.Millisecond, 20*time.Microsecond
	u := &soakUpstream{engine: routed.New(name, s), listedState: "ready", name: name, service: service}
	u.engine.Peer = w.engineAt
	u.engine.OnCrash = func(request string) { w.recordCrash(u, request) }
	if w.cold {
		now := time.Now()
		u.cold = interval{now, now.Add(coldPeriod)}
		u.engine.SetCold(u.cold.to, coldPerSecond)
	}
	u.server = httptest.NewUnstartedServer(u.engine)
	u.server.Config.ErrorLog = discardLog
	u.server.Start()
	var err error
	if u.proxy, err = newProxy(u.server.Listener.Addr().String()); err != nil {
		return err
	}
	w.mutex.Lock()
	w.upstreams[name] = u
	w.mutex.Unlock()
	w.publishUpstream(u, "ready")
	return nil
}

// writtenChanges returns the versions of the configuration that were written, in order.
func (w *cluster) writtenChanges() []change {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]change(nil), w.changes...)
}

// freeAddresses returns free loopback addresses. Their ports are below the ephemeral range,
// because a box that restarts must get its own port again.
func freeAddresses(n int) ([]string, error) {
	const lowest, count, tries = 12_000, 18_000, 200
	var l []string
	for range tries {
		x, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(count)))
		if err != nil {
			continue // in use
		}
		defer func() { _ = x.Close() }()
		if l = append(l, x.Addr().String()); len(l) == n {
			return l, nil
		}
	}
	return nil, errors.New("no free ports")
}

// transport returns a transport that opens a connection for each request, as separate callers
// would.
func transport() *http.Transport {
	return &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
}
