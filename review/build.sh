#!/usr/bin/env bash
# Builds the stand-ins of all scripts into review/bin. The gateway itself is built by the
# build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
