# SPDX-License-Identifier: MIT
"""Claims: each submission runs once."""
