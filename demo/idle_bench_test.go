package demo

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"text/template"
	"time"

	"lacewingfork.example/lacewingfork/fleet"
	"lacewingfork.example/lacewingfork/standin"
)

const (
	idleWindows = 3
	idleWindow  = 8 * time.Second
	// clockTick is the unit of the processor times in /proc/PID/stat (USER_HZ).
	clockTick = 10 * time.Millisecond
)

// idleSettings keeps the default lease times and connects to each interface of
// the platform over a separate relay.
var idleSettings = template.Must(template.New("idle").Parse(`[instance]
id = "{{.ID}}"
region = "accra"
data_centre = "accra-1"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operations = "127.0.0.1:0"
[platform]
log = "http://{{.Log}}"
list = "http://{{.List}}"
workers = "http://{{.Workers}}"
`))

// relay forwards TCP connections to one address and counts the bytes in both
// directions.
type relay struct {
	listener net.Listener
	bytes    atomic.Int64
}

func newRelay(b *testing.B, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	r := &relay{listener: l}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go r.copyBytes(out, in)
			go r.copyBytes(in, out)
		}
	}()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) copyBytes(to, from net.Conn) {
	_, _ = io.Copy(countingWriter{to, &r.bytes}, from)
	_, _ = to.Close(), from.Close()
}

type countingWriter struct {
	io.Writer
	bytes *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return w.Writer.Write(p)
}

// idleInstance is the process of an instance with the relays of its connections.
type idleInstance struct {
	process                   *process
	Log, List, Workers, peers *relay
}

// startIdle starts instances and a stand-in with racks of 9 backend servers:
// racks in the region of the instances, others in another region. It waits
// until the instances hold every rack.
func startIdle(b *testing.B, bin string, instances, racks, others int) []*idleInstance {
	s := standin.DefaultSettings()
	s.Regions = []standin.Region{
		{Name: "accra", DataCentres: []standin.DataCentre{{Name: "accra-1", Racks: racks, BackendServers: 9}}},
		{Name: "takoradi", DataCentres: []standin.DataCentre{{Name: "takoradi-1", Racks: others, BackendServers: 9}}},
	}
	platform, err := standin.Start(s, standin.ListenTCP)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(platform.Close)
	c := &cluster{bin: bin, work: b.TempDir(), platform: platform.Address()}
	var all []*idleInstance
	for n := range instances {
		i := &idleInstance{
			Log: newRelay(b, c.platform), List: newRelay(b, c.platform), Workers: newRelay(b, c.platform),
		}
		i.start(b, c, fmt.Sprintf("entry-%d", n+1))
		all = append(all, i)
	}
	if err := c.publish(); err != nil {
		b.Fatal(err)
	}
	if err := c.waitUntilReady(b.Context(), racks); err != nil {
		b.Fatal(err)
	}
	return all
}

func (i *idleInstance) start(b *testing.B, c *cluster, id string) {
	var text strings.Builder
	err := idleSettings.Execute(&text, map[string]string{
		"ID": id, "Log": i.Log.address(), "List": i.List.address(), "Workers": i.Workers.address(),
	})
	path := filepath.Join(c.work, id+".toml")
	if err == nil {
		err = os.WriteFile(path, []byte(text.String()), 0o600)
	}
	if err == nil {
		i.process, err = start(c.bin, c.work, id, "lacewingfork-entry", "--settings", path)
	}
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(i.process.kill)
	i.peers = newRelay(b, i.process.readyField("peers"))
	c.instances = append(c.instances, &instance{
		ID: id, Callers: i.process.readyField("callers"), Operations: i.process.readyField("operations"),
	})
	err = c.control(http.MethodPut, "/control/instances", fleet.Instance{
		ID: fleet.InstanceID(id), PeerAddress: i.peers.address(), Region: "accra", DataCentre: "accra-1",
	}, nil)
	if err != nil {
		b.Fatal(err)
	}
}

// sample returns the resources that the instance has used so far. peers-in-B/s
// counts the bytes on connections that its peers opened to it.
func (i *idleInstance) sample(b *testing.B) map[string]float64 {
	dir := "/proc/" + strconv.Itoa(i.process.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	number := func(field int) float64 { v, _ := strconv.ParseFloat(fields[field], 64); return v }
	return map[string]float64{
		"%core":   100 * (number(11) + number(12)) * clockTick.Seconds(),
		"log-B/s": float64(i.Log.bytes.Load()), "list-B/s": float64(i.List.bytes.Load()),
		"workers-B/s": float64(i.Workers.bytes.Load()), "peers-in-B/s": float64(i.peers.bytes.Load()),
		"MB": number(21) * float64(os.Getpagesize()) / 1e6,
	}
}

// bodySize returns the size, in bytes, of a response of the operations server.
func (i *idleInstance) bodySize(b *testing.B, path string) float64 {
	response, err := http.Get("http://" + i.process.readyField("operations") + path)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	size, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		b.Fatal(err)
	}
	return float64(size)
}

func buildPrograms(b *testing.B) string {
	bin := b.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "../cmd/lacewingfork", "../cmd/lacewingfork-entry")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("build the programs: %v: %s", err, out)
	}
	return bin
}

// BenchmarkIdleInstance measures the first of a set of idle entry instances with
// the default lease times: processor time, resident memory, and the bytes on its
// connections to the platform and on those that peers opened to it. The figures
// are medians of three windows. Run it with -benchtime 1x.
func BenchmarkIdleInstance(b *testing.B) {
	bin := buildPrograms(b)
	for _, c := range []struct{ instances, racks, servers int }{
		{1, 1, 9}, {1, 6, 54}, {1, 18, 162}, {1, 36, 324}, {1, 18, 5400}, {2, 36, 324}, {3, 54, 486},
	} {
		b.Run(fmt.Sprintf("instances=%d/partitions=%d/listed=%d", c.instances, c.racks, c.servers), func(b *testing.B) {
			i := startIdle(b, bin, c.instances, c.racks, c.servers/9-c.racks)[0]
			windows := map[string][]float64{}
			for b.Loop() {
				for range idleWindows {
					before := i.sample(b)
					time.Sleep(idleWindow)
					for name, after := range i.sample(b) {
						if name != "MB" {
							after = (after - before[name]) / idleWindow.Seconds()
						}
						windows[name] = append(windows[name], after)
					}
				}
			}
			for name, values := range windows {
				slices.Sort(values)
				b.ReportMetric(values[len(values)/2], name)
			}
			b.ReportMetric(i.bodySize(b, "/metrics"), "metrics-bytes")
			b.ReportMetric(i.bodySize(b, "/debug/state"), "dump-bytes")
		})
	}
}
