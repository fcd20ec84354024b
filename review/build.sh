#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python files of the standard library alone.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
