"""Tests of the store's client and of the local copies."""
