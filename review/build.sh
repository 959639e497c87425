#!/usr/bin/env bash
# Builds the stand-in that the cases start, into target/. It needs no network and no
# package beyond the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -tags review -o target/review-standin ./review/standin
