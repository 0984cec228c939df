"""The target program, which runs requests at the back end of its host."""
