package stage

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Results of a script, as its exit status.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the script shall bring its disruption about.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a script in the repository's root and exits with its result. The folder is that of the case. The function
// sets the site up; run plays it and returns what it found.
func Main(folder string, cfg Config, run func(*Site) (result int, finding string)) {
	if len(os.Args) > 1 {
		folder = os.Args[1] // for runs side by side
	}
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	record.Printf("trouble: %v, begun %s", Trouble(), time.Now().UTC().Format(time.RFC3339))
	site, err := New(cfg, record)
	if err != nil {
		record.Printf("not run: %v", err)
		os.Exit(NotRun)
	}
	type outcome struct {
		result  int
		finding string
	}
	done := make(chan outcome, 1)
	go func() {
		result, finding := run(site)
		done <- outcome{result, finding}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var end outcome
	select {
	case end = <-done:
	case got := <-signals:
		end = outcome{NotRun, "ended by a signal: " + got.String()}
	case <-time.After(scriptLimit):
		end = outcome{NotRun, "not over in time"}
	}
	for _, controller := range site.Controllers {
		controller.CopyLog(maxCopiedLog)
	}
	site.End()
	record.Printf("result %d: %s", end.result, end.finding)
	fmt.Println(end.finding)
	os.Exit(end.result)
}

// scriptLimit is how long a script may run.
const scriptLimit = 116 * time.Second

// maxCopiedLog is the number of bytes of each controller's log that the record gets.
const maxCopiedLog = 200_000

// StartAll starts all controllers and waits until they answer.
func (s *Site) StartAll() bool { return s.StartSome(len(s.Controllers)) }

// StartSome starts as many controllers, the first ones, and waits until they answer.
func (s *Site) StartSome(count int) bool {
	for _, controller := range s.Controllers[:count] {
		if err := controller.Start(); err != nil {
			s.Record.Printf("%s: %v", controller.Name, err)
			return false
		}
	}
	for _, controller := range s.Controllers[:count] {
		if !controller.WaitUntilReady(startLimit) {
			return false
		}
	}
	return true
}

// startLimit is how long a controller may take until it answers.
const startLimit = 20 * time.Second
