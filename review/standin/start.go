package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// slowBy and slowLength are the dose of platform_slow.
	slowBy     = 60
	slowLength = 4500 * time.Millisecond
	slowTimes  = 4
	// slowAfter is how long after a SIGTERM the store gets slow: shortly before the gateway ends.
	slowAfter = 2 * time.Second
	// restartDelay is how long the platform takes to start a process again, and restartPause the time
	// between two restarts.
	restartDelay = 300 * time.Millisecond
	restartPause = 2 * time.Second
	// shortTimeoutMs is the time-out to which the operator has changed the plain routes. It is longer
	// than their objective, sloMs.
	shortTimeoutMs = 400
	// newClientEvery is the time between two clients, each of which comes over a new connection: as
	// many as the sheet has requests.
	newClientEvery = 12 * time.Millisecond
)

// slowStart stops a gateway and starts it again while the store is slow, a few times.
func slowStart(s *site, rec *record, trouble bool) (int, error) {
	if _, err := deploy(s, 2); err != nil {
		return failed, err
	}
	s.configure(configuration{holdService: bookingService, timeoutMs: shortTimeoutMs})
	time.Sleep(settle)
	f := s.fronts[0]
	var mu sync.Mutex
	attempts := map[string]attempt{}
	var wg sync.WaitGroup
	until := time.Now().Add(slowTimes * (slowAfter + slowLength + restartPause))
	wg.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			time.Sleep(newClientEvery)
			method, prefix := http.MethodGet, lookupPrefix
			if n%2 == 1 {
				method, prefix = http.MethodPost, holdPrefix
			}
			wg.Go(func() {
				c := &client{front: f}
				defer c.close()
				a := c.do(method, prefix, "") // Without a body, as the examples of the pages.
				mu.Lock()
				defer mu.Unlock()
				attempts[a.id] = a
			})
		}
	})
	for range slowTimes {
		rec.printf("%s gets SIGTERM", f.name)
		_ = f.cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(slowAfter)
		slow := time.Now()
		if trouble {
			s.store.setDelay(slowBy * answerTime)
			rec.printf("the store's answers take %d times as long", slowBy)
		}
		<-f.exited
		time.Sleep(restartDelay)
		began := time.Now()
		if err := f.start(s); err != nil {
			return failed, err
		}
		rec.printf("%s, started again, is ready after %d ms", f.name, time.Since(began).Milliseconds())
		time.Sleep(time.Until(slow.Add(slowLength)))
		s.store.setDelay(answerTime)
		time.Sleep(restartPause)
	}
	wg.Wait()
	ran := map[string]int{}
	for _, v := range s.servers {
		for _, a := range v.ran() {
			ran[a.id]++
		}
	}
	forged, unsafe := 0, 0
	for _, a := range attempts {
		if a.status < 200 || a.status >= 300 || a.seal != "" {
			continue
		}
		forged++
		if a.prefix == holdPrefix {
			unsafe++
		}
		rec.printf("%s1 of %s, sent to %s at %.3f: status %d after %d ms with %d bytes and no X-Response-Seal; servers ran it %d times",
			a.prefix, a.id, a.front.name, a.sent.Sub(rec.began).Seconds(), a.status, a.took.Milliseconds(), len(a.body), ran[a.id])
	}
	rec.summary(s, attempts)
	rec.printf("%d successes are no server's, %d of them of unsafe requests", forged, unsafe)
	if forged > 0 {
		return broken, nil
	}
	return held, nil
}
