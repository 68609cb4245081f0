"""Starts deployments of real processes on loopback and measures them. Standard library only."""
