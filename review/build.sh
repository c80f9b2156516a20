#!/bin/sh
# The stand-ins are Python programs that need nothing but the standard library: checks the interpreter and the programs.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or newer is needed" if sys.version_info < (3, 11) else 0)'
python3 -c 'import ast, sys; [ast.parse(open(name, encoding="utf-8").read(), name) for name in sys.argv[1:]]' standin.py [1-5]/case.py
