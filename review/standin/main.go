// The command standin plays the cases of the review: it starts the processes of a small deployment on loopback addresses,
// with stand-ins for the platform's store, the servers and the clients, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// maxDuration limits a case.
const maxDuration = 110 * time.Second

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// play is the environment of a case.
type play struct {
	*fleet
	// trouble is false for the run without the disruption.
	trouble bool
}

var cases = map[string]func(p *play) verdict{
	"moves":  playMoves,
	"drain":  playDrain,
	"stop":   playStop,
	"bodies": playBodies,
	"late":   playLateHeartbeat,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		os.Exit(int(notRun))
	}
	os.Exit(int(run(os.Args[1], os.Args[2])))
}

func run(name, dir string) verdict {
	rec, err := newRecorder(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.close()
	p := &play{fleet: f, trouble: os.Getenv("TROUBLE") != "0"}
	rec.say("case %s, trouble %t", name, p.trouble)
	result := make(chan verdict, 1)
	go func() { result <- cases[name](p) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	v := notRun
	select {
	case v = <-result:
	case <-time.After(maxDuration):
		rec.say("the case took too long")
	case <-signals:
	}
	rec.say("result: %s", []string{"the rule held", "the rule was broken", "the case could not run"}[v])
	return v
}

// fail reports that a case could not run.
func (p *play) fail(format string, args ...any) verdict {
	p.rec.say(format, args...)
	return notRun
}

type (
	object = map[string]any
	list   = []any
)

// route returns a route of the configuration.
func route(name, kind, service string, timeout, aim time.Duration) object {
	return object{
		"name": name, "prefix": "/" + name + "/", "kind": kind, "timeout": fmt.Sprintf("%dms", timeout.Milliseconds()),
		"targetLatency": fmt.Sprintf("%dms", aim.Milliseconds()), "priority": 1, "service": service, "maxAttempts": 2,
	}
}

// configure writes the operator's configuration, with limits as on the users' page.
func (p *play) configure(service string, sharded bool, routes ...any) {
	s := object{"name": service, "healthCheckPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}
	if sharded {
		s["sharded"], s["warm"], s["grants"] = true, "2s", "request"
	}
	p.store.setConfiguration(object{
		"version": 7, "services": list{s}, "virtualHosts": list{object{"host": "h.example", "paths": list(routes)}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
}

// addMachines starts n machines with a backend each.
func (p *play) addMachines(n int, service string, slots int, sharded bool, work func(r *http.Request) time.Duration) error {
	for i := range n {
		b, err := startBackend(p.rec, fmt.Sprintf("i-%d", i+1), service, slots, sharded, work)
		if err != nil {
			return err
		}
		if err := p.add("sidecar-"+string(rune('a'+i)), fmt.Sprintf("zone-%d", i+1), b); err != nil {
			return err
		}
	}
	return nil
}

// workOf reads the duration of a request's work from its query, which stands for what the client asks for.
func workOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get("work"))
	if err != nil {
		return 5 * time.Millisecond
	}
	return time.Duration(ms) * time.Millisecond
}
