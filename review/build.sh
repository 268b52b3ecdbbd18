#!/bin/sh
# Builds the stand-ins of the cases into review/bin/. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/fakeplatform ./cmd/fakeplatform
cd review/standins
go test -c -o ../bin/standins .
