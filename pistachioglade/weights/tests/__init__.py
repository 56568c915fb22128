"""Tests of the weight orders to engines."""
