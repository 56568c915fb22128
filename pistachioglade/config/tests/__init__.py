"""Tests of the configuration's checks."""
