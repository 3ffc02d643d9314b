// Command standin plays the cases of the review: it starts the project's gateways on a stand-in of
// the platform, servers and clients, and reports whether a rule was broken.
package main

import (
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// printf writes a line with the time since the start of the case.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// summary writes what each client sent and how it was answered, what the servers ran, and the sums.
func (r *record) summary(s *site, attempts map[string]attempt) {
	at := func(t time.Time) float64 { return t.Sub(r.began).Seconds() }
	answers := map[int]int{}
	sent := slices.SortedFunc(maps.Values(attempts), func(a, b attempt) int { return a.sent.Compare(b.sent) })
	for _, a := range sent {
		answers[a.status]++
		switch {
		case a.err != nil:
			r.printf("sent at %.3f %s %s1 to %s: no answer, %v", at(a.sent), a.id, a.prefix, a.front.name, a.err)
		default:
			r.printf("sent at %.3f %s %s1 to %s: status %d, seal %q, %d bytes, after %d ms", at(a.sent), a.id, a.prefix, a.front.name, a.status, a.seal, len(a.body), a.took.Milliseconds())
		}
	}
	for _, v := range s.servers {
		for _, a := range v.ran() {
			r.printf("run at %.3f %s by %s of %s", at(a.at), a.id, v.id, v.service)
		}
	}
	r.printf("sent %d; answers by status %v (0: none)", len(attempts), answers)
	for _, v := range s.servers {
		r.printf("%s of %s ran %d", v.id, v.service, len(v.ran()))
	}
}

var cases = map[string]func(s *site, rec *record, trouble bool) (int, error){
	"slow-start":          slowStart,
	"junk-answers":        junkAnswers,
	"stale-configuration": staleConfiguration,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(failed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	rec := &record{file: file, began: time.Now()}
	s, err := newSite()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		s.close()
		os.Exit(failed)
	}()
	code, err := cases[os.Args[1]](s, rec, os.Getenv("TROUBLE") != "0")
	s.close()
	if err != nil {
		rec.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	rec.printf("exit %d", code)
	_ = file.Close()
	os.Exit(code)
}
