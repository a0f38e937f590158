# SPDX-License-Identifier: MIT
"""The way to workers and to the platform's list."""
