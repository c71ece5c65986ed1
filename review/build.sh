#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/standin
