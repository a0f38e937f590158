# SPDX-License-Identifier: MIT
"""Claims: at-most-once execution of each submission."""
