#!/bin/sh
# The stand-ins are Python programs without dependencies: only their syntax is checked.
cd "$(dirname "$0")/.." || exit 1
for file in review/*.py review/*/case.py; do
    python3 -B -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
