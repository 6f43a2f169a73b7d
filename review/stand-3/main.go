// Command stand-3 plays the cases of an independent review: it starts fronts with the command
// of the deploy file, and stand-ins for clients, runners and the platform.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand-3 runner FLAGS | play CASE FRONT RECORD")
		os.Exit(exitNotRun)
	}
	var err error
	switch os.Args[1] {
	case "runner":
		err = runRunner(os.Args[2:])
	case "play":
		os.Exit(play(os.Args[2:]))
	default:
		err = fmt.Errorf("unknown command %q", os.Args[1])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
}

// play plays a case and returns the exit code.
func play(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 play CASE FRONT RECORD")
		return exitNotRun
	}
	c, err := newCluster(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	c.note("case %s, trouble %t", args[0], trouble)
	verdict, err := cases[args[0]](c, trouble)
	code := exitHeld
	switch {
	case c.ctx.Err() != nil:
		verdict, code = "not run: ended by a signal", exitNotRun
	case err != nil:
		verdict, code = "not run: "+err.Error(), exitNotRun
	case isBroken(verdict):
		code = exitBroken
	}
	c.note("%s", verdict)
	fmt.Println(verdict)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, p := range c.fronts {
			_ = os.WriteFile(keep+"/"+p.Name+".log", []byte(p.Tail(64<<20)), 0o644)
		}
	}
	c.close()
	return code
}
