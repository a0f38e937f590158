# SPDX-License-Identifier: MIT
"""Boxes with all peers listed in the settings: claims, slot leases and the HTTP interface."""
