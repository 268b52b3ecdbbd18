#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
cd review/standins-2
go test -c -o ../bin/standins-2 .
