# SPDX-License-Identifier: MIT
"""Placement and ordering of runs on endpoints, without I/O."""
