// Command measure prints readability figures of the repository's Go code. Only the last line covers tests.
// Run it through .ci/figures, which starts it in the repository's root.
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
	testCount := 0
	for _, file := range files {
		if file.isTest() {
			testCount += file.testFunctions()
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
		testCount, scenarios.files, scenarios.directives)
}
