# SPDX-License-Identifier: MIT
"""Which boxes there are, found through seeds, and what all of them must know."""
