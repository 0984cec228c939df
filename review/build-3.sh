#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python and run with the libraries of the deploy
# file's build, so this only checks that these can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:platform/tests:review PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import rig3"
