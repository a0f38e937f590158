# SPDX-License-Identifier: MIT
"""Boxes that find each other through seeds: owners of availability zones and their scheduling."""
