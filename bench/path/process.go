package path

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/standin/deployment"
)

// clockTick is the unit of the CPU times in /proc, which on Linux is a
// hundredth of a second on every architecture.
const clockTick = 10 * time.Millisecond

// probe reads the resource usage of one process.
type probe struct {
	d    *deployment.Deployment
	name string
}

// usage is the resource usage of a process, in total or within a period.
type usage struct {
	cpu     time.Duration
	mallocs float64
	time    time.Duration
}

// minusIdle returns u less what an idle process uses in the same time.
func (u usage) minusIdle(idle usage) usage {
	scale := u.time.Seconds() / idle.time.Seconds()
	u.cpu -= time.Duration(float64(idle.cpu) * scale)
	u.mallocs -= idle.mallocs * scale
	return u
}

// usageDuring runs f and returns what each process used while it ran.
func usageDuring(ctx context.Context, probes []probe, f func() error) ([]usage, error) {
	before, err := readAll(ctx, probes)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if err := f(); err != nil {
		return nil, err
	}
	took := time.Since(began)
	after, err := readAll(ctx, probes)
	if err != nil {
		return nil, err
	}
	for i := range after {
		after[i].cpu -= before[i].cpu
		after[i].mallocs -= before[i].mallocs
		after[i].time = took
	}
	return after, nil
}

func readAll(ctx context.Context, probes []probe) ([]usage, error) {
	list := make([]usage, len(probes))
	for i, p := range probes {
		u, err := p.read(ctx)
		if err != nil {
			return nil, errors.Wrapf(err, "read resource usage of %s", p.name)
		}
		list[i] = u
	}
	return list, nil
}

func (p probe) read(ctx context.Context) (usage, error) {
	pid, err := p.d.PID(p.name)
	if err != nil {
		return usage{}, err
	}
	cpu, err := CPUTime(pid)
	if err != nil {
		return usage{}, err
	}
	mallocs, err := p.mallocs(ctx)
	return usage{cpu: cpu, mallocs: mallocs}, err
}

// mallocs reads the number of allocations so far from the process's own
// metrics.
func (p probe) mallocs(ctx context.Context) (float64, error) {
	address := p.d.Address(p.name)
	if strings.HasPrefix(p.name, "entry") {
		address = strings.Replace(address, ":8080", ":8082", 1)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Memstats struct{ Mallocs uint64 } `json:"memstats"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return 0, errors.Wrap(err, "decode metrics")
	}
	return float64(vars.Memstats.Mallocs), nil
}

// CPUTime returns the CPU time that a process has used in user and system mode,
// with a resolution of 10 ms.
func CPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	// The second field is the name in parentheses, which may hold spaces.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.New("too few fields in /proc/PID/stat")
	}
	var ticks int64
	for _, f := range fields[userField : systemField+1] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse CPU time")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// ResidentMemory returns the resident memory of a process in bytes.
func ResidentMemory(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse resident memory")
		}
		return kb * 1024, nil
	}
	return 0, errors.New("no VmRSS in /proc/PID/status")
}
