// Command hsctl checks manifests and merges the logs of entry hosts for
// operators.
package main

import (
	"os"

	"heatherstack.org/heatherstack/internal/hsctl"
)

func main() {
	os.Exit(hsctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
