# SPDX-License-Identifier: MIT
"""The ``foldloom`` command-line tool."""
