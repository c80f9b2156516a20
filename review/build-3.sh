#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they are Python scripts of the standard library, so that they are only compiled to find errors.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11, as in Debian 12")
for path in ["standins-3/fleet.py"] + sorted(glob.glob("1[1-5]/case.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
    print("checked", path)
CHECK
