// Command apricotproxy serves generations of unknown length on crowded engines.
package main

import "apricotproxy/io/cmds"

func main() { cmds.Main() }
