#!/bin/sh
# Builds the stand-ins of the second review into target/. It needs no network.
set -e
cd "$(dirname "$0")"
mkdir -p ../target
GOPROXY=off go build -trimpath -o ../target/review-rig-2 ./rig2
