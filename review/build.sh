#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. The build line of
# deploy/system.toml must have run before.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
