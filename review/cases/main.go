// Command cases runs one case of the review. It is started by the case's run.sh, in the repository's root. Its exit
// status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"swiftledge/review/site"
)

// Exit statuses.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// A run is one run of a case.
type run struct {
	record  *site.Record
	trouble bool
	dir     string
}

// longestRun ends a run that does not end by itself.
const longestRun = 118 * time.Second

func main() { os.Exit(runCase()) }

func runCase() int {
	cases := map[string]func(*run) int{
		"long-image": longImage, "no-leader": noLeader, "blocked-team": blockedTeam,
		"many-tasks": manyTasks, "cancelled-start": cancelledStart, "large-service": largeService,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return couldNotRun
	}
	record, err := site.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	r := &run{record: record, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](r) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	code := couldNotRun
	select {
	case code = <-result:
	case <-signals:
		record.Logf("ended by a signal")
	case <-time.After(longestRun):
		record.Logf("the run took too long")
	}
	record.Logf("exit status %d", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir) // a temporary directory that stays does no harm
	}
	return code
}

// verdict writes the verdict to the record and to standard output.
func (r *run) verdict(code int, format string, arguments ...any) int {
	text := fmt.Sprintf(format, arguments...)
	r.record.Logf("verdict: %s", text)
	fmt.Println(text)
	return code
}
