#!/bin/sh
# Builds what the scripts start besides the project's own programs: the stand-ins are plain Python of the
# standard library, so only their syntax is checked.
cd "$(dirname "$0")" || exit 1
python3 - standins.py 2/case.py 3/case.py <<'END'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
END
