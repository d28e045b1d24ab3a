#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the program of the
# deploy file: the stand-ins for the store, the servers, the clients and the routers.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/standin-3 ./review/standin-3
