#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The deploy file's build comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/fleet2
