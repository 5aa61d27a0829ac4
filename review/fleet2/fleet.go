package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

// errUnusable means that the case could not be played.
var errUnusable = errors.New("the case could not be played")

// places are the zones of the small deployment, and gatewaysIn the number of machines in each.
var (
	places     = []place{{"regina-yard", "sask-south"}, {"red-deer-yard", "alberta-central"}, {"brandon-yard", "manitoba-west"}}
	gatewaysIn = []int{3, 3, 2}
)

const host = "ficu95.example"

// startInterval is the time between the starts of two instances: all start within 0.3 s.
const startInterval = 35 * time.Millisecond

// worker is a stand-in worker with its entry.
type worker struct {
	*cwstandin.Worker
	service, zone, address, version string
	born                            int64
	server                          *http.Server
}

// fleet is a small deployment on loopback.
type fleet struct {
	dir, program string
	network      int
	store        *store
	storeAddress string
	// ownStoreAddresses is set if each instance calls the store at an address of its own, which are in
	// storeAddresses by the instance's.
	ownStoreAddresses bool
	storeAddresses    map[string]string
	gateways          []*gateway
	workers           []*worker

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	begin  time.Time
	nextID int
}

func newFleet(caseDir, program string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("make a temporary folder: %w", err)
	}
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	f := &fleet{dir: dir, program: program, store: newStore(), file: file, record: bufio.NewWriter(file), begin: time.Now()}
	for range 50 {
		f.network = 20 + rand.IntN(200)
		l, err := net.Listen("tcp", f.ip(0, 1)+":8144")
		if err == nil {
			_ = l.Close()
			break
		}
	}
	l, err := net.Listen("tcp", f.ip(200, 1)+":8142")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	f.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, f.store.handler()) }()
	return f, nil
}

// ip returns a loopback address of this run.
func (f *fleet) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, third, fourth)
}

// logf writes a line to the record.
func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.begin).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and the record.
func (f *fleet) close() {
	for _, g := range f.gateways {
		if g.cmd != nil && g.cmd.ProcessState == nil {
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			g.stop(syscall.SIGKILL)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Flush()
	_ = f.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// startGateways starts the instances of all zones.
func (f *fleet) startGateways() error {
	var seeds []string
	for zone := range places {
		seeds = append(seeds, f.ip(zone, 1)+":8146")
	}
	for zone, count := range gatewaysIn {
		for n := range count {
			ip := f.ip(zone, n+1)
			storeAddress, err := f.storeAddressOf(ip)
			if err != nil {
				return err
			}
			name := fmt.Sprintf("front-%s-%d", places[zone].zone, n+1)
			g := &gateway{program: f.program, dir: f.dir, ip: ip, zone: places[zone].zone, settings: formatSettings(name, ip, places[zone], places, seeds, storeAddress)}
			f.gateways = append(f.gateways, g)
			if err := g.start(); err != nil {
				return err
			}
			time.Sleep(startInterval)
		}
	}
	return nil
}

// storeAddressOf returns the address at which an instance calls the store.
func (f *fleet) storeAddressOf(ip string) (string, error) {
	if !f.ownStoreAddresses {
		return f.storeAddress, nil
	}
	l, err := net.Listen("tcp", f.ip(201, len(f.gateways)+1)+":8142")
	if err != nil {
		return "", fmt.Errorf("listen for the store: %w", err)
	}
	go func() { _ = http.Serve(l, f.store.handler()) }()
	if f.storeAddresses == nil {
		f.storeAddresses = make(map[string]string)
	}
	f.storeAddresses[ip] = l.Addr().String()
	return l.Addr().String(), nil
}

// addWorker starts a worker of a service in a zone and writes its entry.
func (f *fleet) addWorker(service string, zone, number int) (*worker, error) {
	id := fmt.Sprintf("i-%s-%d-%d", service, zone, number)
	w := &worker{Worker: cwstandin.NewWorker(id), service: service, zone: places[zone].zone, version: "v1", address: f.ip(100+zone, number) + ":8080", born: time.Now().UnixMilli()}
	w.SetBorn(w.born)
	w.SetServiceTime(20 * time.Millisecond)
	if err := w.listen(w.Worker); err != nil {
		return nil, err
	}
	f.workers = append(f.workers, w)
	f.register(w, "ready")
	return w, nil
}

func (w *worker) listen(handler http.Handler) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("listen for worker %s: %w", w.ID, err)
	}
	w.server = &http.Server{Handler: handler}
	go func() { _ = w.server.Serve(l) }()
	return nil
}

// register writes the entry of a worker and returns the time of the acknowledgement.
func (f *fleet) register(w *worker, state string) time.Time {
	return f.put(w.ID, w, state)
}

// put writes the entry of a worker with an identifier.
func (f *fleet) put(id string, w *worker, state string) time.Time {
	return f.store.put("servers/"+id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": 64, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": w.born,
	})
}

// newID returns the identifier of a new attempt.
func (f *fleet) newID(what string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	return fmt.Sprintf("%s%06d", what, f.nextID)
}

// answer is what a client gets.
type answer struct {
	status int
	body   string
	err    error
}

// request sends one attempt on a new connection and reads the whole answer.
func (g *gateway) request(method, path, id string, deadline time.Duration) answer {
	conn, err := net.DialTimeout("tcp", g.ip+":8144", time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nClementinewell-Request-Id: %s\r\nClementinewell-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method == http.MethodPost {
		text += "Content-Length: 2\r\n\r\nxy"
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: strings.TrimSpace(string(body)), err: err}
}

// awaitServing waits until all instances answer a request with success.
func (f *fleet) awaitServing(path string, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, g := range f.gateways {
		for {
			a := g.request(http.MethodGet, path, f.newID("wait"), time.Second)
			if a.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s does not serve: %d %v", errUnusable, g.ip, a.status, a.err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
