"""Runs the load tool as ``python -m pistachioglade.load``."""

from ._program import main

main()
