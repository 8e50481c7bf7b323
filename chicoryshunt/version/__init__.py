"""Versions of the configuration and the patch log behind them."""
