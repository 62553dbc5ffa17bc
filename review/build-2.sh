#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
for case in review/[0-9]*/main.go; do
  folder=$(dirname "$case")
  go build -o "target/review-$(basename "$folder")" "./$folder"
done
