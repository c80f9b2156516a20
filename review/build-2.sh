#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 (review/standins-2/fleet.py) are Python sources, so that there is nothing to compile. Checks that they load.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
python3 -c 'import ast, sys; sys.version_info >= (3, 11) or sys.exit("Python 3.11 is needed"); ast.parse(open("fleet.py").read())'
