// Command measure prints figures of how readable the repository's Go code is. Tests are left out of all
// but the last ones. Run it by .ci/figures, in the repository's root.
package main

import (
	"fmt"
	"log"
	"os"
)

func main() {
	files, err := parseRepository(".")
	if err != nil {
		log.Fatal(err)
	}
	code := newFigures()
	tests := 0
	for _, file := range files {
		if file.isTest() {
			tests += file.testFunctions()
			continue
		}
		code.add(file)
	}
	scenarios, err := countScenarios(".")
	if err != nil {
		log.Fatal(err)
	}
	code.print(os.Stdout)
	fmt.Printf("tests: functions %d, scenario files %d, directives in scenarios %d\n",
		tests, scenarios.files, scenarios.directives)
}
