#!/bin/sh
# Checks the stand-ins that the scripts start. They are Python files of the standard library alone, so
# that nothing is built; no file is written.
set -e
cd "$(dirname "$0")"
for file in deployment.py messages.py runner.py store.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
