# SPDX-License-Identifier: MIT
"""The command-line tool."""
