#!/usr/bin/env bash
# Builds the stand-ins of the scripts 11 to 15 into review/fleet3/bin. The gateway itself is built by the
# build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/fleet3/bin
go build -o review/fleet3/bin/fleet3 ./review/fleet3
