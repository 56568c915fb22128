"""Tests of the controllers, with fakes at the interfaces."""
