// Command cases runs the scripted cases of the review. Each starts hosts of the project as
// separate processes, as the deploy file says, in front of stand-ins for the platform's store,
// for databases, for the links to them and for clients, all on loopback addresses.
//
//	review-cases NUMBER
//
// It writes record.txt in the folder of the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit bounds the time of one case.
const caseLimit = 110 * time.Second

// maxPrinted bounds the breaches that a case prints; the record has all.
const maxPrinted = 8

// review is one case: it returns the breaches of the rule that it saw.
type review func(w *world) []string

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]review{
		"1": lateAnswer,
		"2": ownerKilled,
		"3": staleFence,
		"4": stopCuts,
		"5": keyMoved,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases NUMBER, in the repository")
		return exitFailed
	}
	record, err := newRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w := &world{
		record:  record,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	code := make(chan int, 1)
	go func() { code <- w.judge(os.Args[1], cases[os.Args[1]]) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	result := exitFailed
	select {
	case result = <-code:
	case s := <-interrupted:
		record.add("case", "interrupted by %s", s)
	case <-time.After(caseLimit):
		record.add("case", "not over within %s", caseLimit)
	}
	w.stop()
	record.add("case", "exit %d", result)
	record.close()
	return result
}

// judge runs a case and returns the exit code.
func (w *world) judge(name string, r review) (code int) {
	defer func() {
		if p := recover(); p != nil {
			f, ok := p.(failure)
			if !ok {
				panic(p)
			}
			w.record.add("case", "could not run: %s", string(f))
			fmt.Fprintln(os.Stderr, "could not run:", string(f))
			code = exitFailed
		}
	}()
	w.record.add("case", "case %s, trouble %t", name, w.trouble)
	breaches := r(w)
	for i, b := range breaches {
		w.record.add("BREACH", "%s", b)
		if i < maxPrinted {
			fmt.Println("BREACH", b)
		}
	}
	if len(breaches) > 0 {
		fmt.Println(len(breaches), "in all")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// failure is the panic of a case that can't run.
type failure string

func failf(format string, values ...any) { panic(failure(fmt.Sprintf(format, values...))) }
