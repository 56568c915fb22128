"""Lets ``python -m pistachioglade.load`` run the load tool."""

from ._program import main

main()
