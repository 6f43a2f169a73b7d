// Command mustardnotch runs the processes of the system and offers commands for
// operators and callers.
package main

import (
	"os"

	"mustardnotch/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args))
}
