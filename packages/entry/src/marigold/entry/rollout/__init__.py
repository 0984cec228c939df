"""Rollout of model versions to targets."""
