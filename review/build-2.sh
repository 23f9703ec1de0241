#!/usr/bin/env bash
# Build the stand-ins of the second review, which need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins_2 stand_ins_3
