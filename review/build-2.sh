#!/bin/bash
# Prepares what the scripts of review/6 and later start. Their stand-ins (store, executors,
# clients, the proxy) are Python programs of the standard library in review/standin-2, so there
# is nothing to compile: this checks that they can be read. The project's own programs come from
# the build of the deploy file. Needs python3 (3.9 or newer) and no network.
set -eu
cd "$(dirname "$0")/.."
for file in review/standin-2/*.py review/[0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 9))'
