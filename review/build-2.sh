#!/bin/sh
# Builds the stand-ins of the second review (cases 6 to 10) into target/review-2. Needs no network.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
go build -buildvcs=false -o ../../target/review-2/standin .
