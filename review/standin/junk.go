package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// The dose of garble: a third of the servers, where the pages allow half, and of their answers as
	// many as they say, for garbleLength at a time.
	garbledServers = 1
	garbledAnswers = 0.02
	garbleLength   = 5500 * time.Millisecond
	garbleTimes    = 6
	garblePause    = 3 * time.Second
	// linkBytes is what the link of a front machine carries in a second.
	linkBytes = 1000e6 / 8
	// watchEvery is how often the platform looks at the memory of a process.
	watchEvery = 10 * time.Millisecond
	// maxLost is how many requests a rule allows to be lost.
	maxLost = 3
)

// sendJunk sends bytes that are not a response, no faster than the link of a front machine carries them,
// until the gateway closes the connection.
func sendJunk(c net.Conn) {
	buf := make([]byte, 64<<10)
	for i := range buf {
		buf[i] = byte('a' + rand.IntN(26))
	}
	began, sent := time.Now(), 0.0
	for {
		n, err := c.Write(buf)
		if err != nil {
			return
		}
		sent += float64(n)
		time.Sleep(time.Until(began.Add(time.Duration(sent / linkBytes * float64(time.Second)))))
	}
}

// resident returns the memory of a process in MB.
func resident(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// limitMemory kills a gateway that exceeds memoryMb and starts it again, as the platform does, until a
// time. It returns how often.
func (s *site) limitMemory(f *front, rec *record, until time.Time) (kills int) {
	most := 0.0
	defer func() { rec.printf("%s had %.0f MB at most, of %d MB", f.name, most, frontMemoryMb) }()
	for time.Now().Before(until) {
		time.Sleep(watchEvery)
		mb := resident(f.cmd.Process.Pid)
		most = max(most, mb)
		if mb <= frontMemoryMb {
			continue
		}
		kills++
		rec.printf("%s has %.0f MB of %d MB and is killed", f.name, mb, frontMemoryMb)
		_ = f.cmd.Process.Signal(syscall.SIGKILL)
		<-f.exited
		time.Sleep(300 * time.Millisecond)
		if err := f.start(s); err != nil {
			rec.printf("%s: %v", f.name, err)
			return kills
		}
	}
	return kills
}

// junkAnswers has a server send bytes that are no response in place of a few answers.
func junkAnswers(s *site, rec *record, trouble bool) (int, error) {
	if _, err := deploy(s, 2); err != nil {
		return failed, err
	}
	var garbling atomic.Bool
	for _, v := range s.servers[:garbledServers] {
		v.junk = func() bool { return garbling.Load() && rand.Float64() < garbledAnswers }
	}
	until := time.Now().Add(settle + garbleTimes*(garbleLength+garblePause))
	var t traffic
	t.start(s, until, [3]string{http.MethodPost, holdPrefix, order}, [3]string{http.MethodGet, lookupPrefix})
	kills := make([]int, len(s.fronts))
	for i, f := range s.fronts {
		t.wg.Go(func() { kills[i] = s.limitMemory(f, rec, until) })
	}
	time.Sleep(settle)
	for range garbleTimes {
		if garbling.Store(trouble); trouble {
			rec.printf("%s garbles %.0f in 100 of its answers for %v", s.servers[0].id, 100*garbledAnswers, garbleLength)
		}
		time.Sleep(garbleLength)
		garbling.Store(false)
		time.Sleep(garblePause)
	}
	attempts := t.wait()

	lost, unsafe := 0, 0
	for _, v := range s.servers[garbledServers:] {
		for _, a := range v.ran() {
			c := attempts[a.id]
			if c.status != 0 || !c.kept {
				continue
			}
			lost++
			if c.prefix == holdPrefix {
				unsafe++
			}
			rec.printf("%s, which is sound, ran %s1 of %s, sent to %s at %.3f over a kept connection, which ended without an answer: %v",
				v.id, c.prefix, a.id, c.front.name, c.sent.Sub(rec.began).Seconds(), c.err)
		}
	}
	rec.summary(s, attempts)
	for i, f := range s.fronts {
		rec.printf("%s was killed %d times for its memory", f.name, kills[i])
	}
	rec.printf("%d requests that sound servers ran got no answer, %d of them unsafe; the rule allows %d", lost, unsafe, maxLost)
	if lost > maxLost {
		return broken, nil
	}
	return held, nil
}
