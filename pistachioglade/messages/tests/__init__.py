"""Tests of the messages."""
