"""Tests of the report."""
