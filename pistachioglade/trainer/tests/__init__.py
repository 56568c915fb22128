"""Tests of the trainer client."""
