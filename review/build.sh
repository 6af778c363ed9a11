#!/usr/bin/env bash
# Builds what the scripted cases start besides the hosts: one program with all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
