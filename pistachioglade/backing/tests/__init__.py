"""Tests of the platform clients, with fakes behind them."""
