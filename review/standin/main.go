// Command standin runs the scripts of the review: entry hosts as processes of their own, before
// stand-ins for the platform's store, its workers and its clients. It exits with 1 if a
// rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var _cases = map[string]func(s *site, trouble bool) (verdict, error){
	"cold":         runCold,
	"refusal":      runRefusal,
	"uploads":      runUploads,
	"upgrade":      runUpgrade,
	"deadly":       runDeadly,
	"silent":       runSilent,
	"deadly-part":  runDeadlyPart,
	"deadly-plain": runDeadlyPlain,
}

func main() {
	name := flag.String("case", "", "case to run")
	program := flag.String("program", "", "path of the system's program")
	folder := flag.String("folder", "", "temporary folder")
	record := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	os.Exit(run(*name, *program, *folder, *record))
}

// endOnSignal ends the processes if the run is ended from outside.
func endOnSignal(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	s.close()
	os.Exit(2)
}

func run(name, program, folder, record string) int {
	s, err := newSite(program, folder, record)
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	defer s.close()
	go endOnSignal(s)
	runCase, ok := _cases[name]
	if !ok {
		fmt.Println("there is no case", name)
		return 2
	}
	result, err := runCase(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.note("could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	s.note("%s", result.text)
	fmt.Println(result.text)
	if result.broken {
		return 1
	}
	return 0
}
