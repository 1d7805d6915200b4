#!/bin/sh
# Runs this case. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../../.." || exit 2
exec target/review-2/standin refused review/more-2/refused/record.txt
