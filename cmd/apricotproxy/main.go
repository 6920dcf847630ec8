// Command apricotproxy runs and inspects the entry hosts that route generations of
// unknown length to heavily loaded engines.
package main

import "apricotproxy/io/cmds"

func main() { cmds.Main() }
