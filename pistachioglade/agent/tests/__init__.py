"""Tests of the agent."""
