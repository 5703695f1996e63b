#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
[ -x ../../target/release/platform-entry ] && [ -x ../../target/release/platform-agent ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 115 python3 case.py
