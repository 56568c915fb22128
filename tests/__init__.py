"""Tests of the whole system, with its real processes."""
