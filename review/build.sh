#!/bin/sh
# Builds the programs of the cases that are scripts, with their stand-ins. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/1 ./review/2
