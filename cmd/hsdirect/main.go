// Command hsdirect runs a heatherstack entry host for direct server return
// (DSR): its targets send their answers directly to callers.
package main

import (
	"os"

	"heatherstack.org/heatherstack/internal/hsdirect"
	"heatherstack.org/heatherstack/platform"
)

func main() {
	os.Exit(hsdirect.Main(os.Args[1:], platform.Adapter{}, os.Stdout, os.Stderr))
}
