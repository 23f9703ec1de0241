#!/bin/bash
# Plays the case and writes record.txt; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 case.py .
