"""The small process beside a platform's runner, which brings new weights to it."""
