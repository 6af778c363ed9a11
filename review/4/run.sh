#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh. With TROUBLE=0 it
# leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
exec target/review-cases 4
