// Command mustardnotch runs the system's processes and its operators' and
// callers' commands.
package main

import (
	"os"

	"mustardnotch/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args))
}
