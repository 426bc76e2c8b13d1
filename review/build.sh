#!/bin/sh
# The stand-ins are Python scripts that need the standard library only: this checks that they can be compiled.
cd "$(dirname "$0")/.." || exit 1
for file in review/common/*.py review/[0-9]/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
