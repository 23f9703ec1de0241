#!/usr/bin/env bash
# Compiles the stand-ins, which are part of the scripts; they need nothing but Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q harness.py ./*/play.py
