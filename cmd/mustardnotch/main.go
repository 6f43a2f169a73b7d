// Command mustardnotch runs the system's processes and its operators' and
// callers' commands.
package main

func main() {}
