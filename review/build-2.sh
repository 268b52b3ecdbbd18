#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/_rig
