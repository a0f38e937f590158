# SPDX-License-Identifier: MIT
"""Seed-based discovery of boxes, ownership of availability zones, and scheduling by the owners."""
