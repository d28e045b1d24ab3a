// Command hsentry runs a heatherstack entry host.
package main

import (
	"os"

	"heatherstack.org/heatherstack/internal/hsentry"
)

func main() {
	os.Exit(hsentry.Main(os.Args[1:], os.Stdout, os.Stderr))
}
