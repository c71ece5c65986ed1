#!/bin/sh
# Builds the stand-ins of the scripts of the second review (cases 4 to 8) into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin-2 ./review/standin-2
