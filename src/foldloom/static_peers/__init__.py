# SPDX-License-Identifier: MIT
"""Boxes whose settings list all their peers: claims, slot leases, the own interface."""
