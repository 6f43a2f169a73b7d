// Program stand-2 holds the stand-ins of the second review: model runners and plain services as
// processes of their own, the platform's store, and clients. Each case starts fronts with the
// command of the deploy file and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sort"
	"strings"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(s *site) error{
	"leaving-stream": leavingStream,
	"deadly-again":   deadlyAgain,
	"refused-run":    refusedRun,
	"frozen-front":   frozenFront,
}

// Processes that a thread has started end with it.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		serveRunner(os.Args[2:])
		return
	}
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file with what was sent, answered and run")
	front := flag.String("front", "target/mustardnotch", "program of the fronts")
	flag.Parse()
	os.Exit(runCase(*name, *record, *front, os.Getenv("TROUBLE") != "0"))
}

func runCase(name, record, front string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		names := make([]string, 0, len(cases))
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "unknown case %q, want one of %s\n", name, strings.Join(names, ", "))
		return exitNotRun
	}
	s, err := newSite(record, front, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer s.close()
	if err := run(s); err != nil {
		s.note("not run: %v", err)
		return exitNotRun
	}
	return s.verdict()
}
