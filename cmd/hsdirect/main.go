// Command hsdirect is the process of a heatherstack entry host whose targets
// answer callers directly.
package main

import (
	"os"

	"heatherstack.org/heatherstack/internal/hsdirect"
	"heatherstack.org/heatherstack/platform"
)

func main() {
	os.Exit(hsdirect.Main(os.Args[1:], platform.Adapter{}, os.Stdout, os.Stderr))
}
