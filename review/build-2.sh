#!/usr/bin/env bash
# Build what the scripts of review/6 to review/10 start. The stand-ins are plain Python
# and run on the libraries in target/deps; the project's own are in platform/tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build
export PYTHONPATH=target/deps:platform/tests:review
python3 -m compileall -q review/rig.py review/model.py platform/tests/platform_store.py \
    platform/tests/scripted_runner.py
python3 -c "import rig, model, platform_store, scripted_runner"
