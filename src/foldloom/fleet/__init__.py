# SPDX-License-Identifier: MIT
"""Which nodes there are, found through seeds, and what all of them must know."""
