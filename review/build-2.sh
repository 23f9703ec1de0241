#!/usr/bin/env bash
# Build the stand-ins of the second review, which need nothing but Python's standard library.
set -euo pipefail
python3 -m compileall -q "$(dirname "$0")/stand_ins_2"
