// Command hsctl checks manifests, merges the logs of entry hosts and shows the
// state of zones for operators.
package main

import (
	"os"

	"heatherstack.org/heatherstack/internal/hsctl"
)

func main() {
	os.Exit(hsctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
