#!/bin/sh
# Builds the stand-ins and the driver of the scripted cases of the second review. It needs
# only what go.mod declares.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec go build -buildvcs=false -tags review2 -o target/review-2/ ./review/cell-2
