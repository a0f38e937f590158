# SPDX-License-Identifier: MIT
"""Calls to endpoints, and the catalog of endpoints that send heartbeats."""
