// Command standin-2 plays the cases of the second review: it starts the project's programs and stand-ins of
// the platform, the servers and the clients, and exits with 1 if a rule was broken, 0 if it held, and 2 if
// the case could not run.
//
//	standin-2 CASE RECORD
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// play is a running case.
type play struct {
	*record
	dir      string
	trouble  bool
	gateways []*gateway
}

var cases = map[string]func(*play) (broken bool){
	"4": leavingServer,
	"5": silentConnections,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(c func(*play) bool, file string) (code int) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	p := &play{dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, g := range p.gateways {
			g.kill()
		}
		if r := recover(); r != nil {
			err, ok := r.(error)
			var notRun *notRunError
			if !ok || !errors.As(err, &notRun) {
				panic(r)
			}
			fmt.Println("not run:", notRun.reason)
			code = 2
		}
		if p.record != nil {
			p.record.close()
		}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		for _, g := range p.gateways {
			g.kill()
		}
		os.Exit(2)
	}()
	p.record = newRecord(file)
	if c(p) {
		return 1
	}
	return 0
}
