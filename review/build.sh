#!/bin/sh
# Builds the programs of the cases. They contain the stand-ins for targets, clients and the platform, and
# use the standard library only. The nodes themselves come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
mkdir -p ../build/review
GOFLAGS=-mod=mod GOPROXY=off go build -trimpath -o ../build/review/ ./cmd/...
