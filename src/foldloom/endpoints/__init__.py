# SPDX-License-Identifier: MIT
"""The way to endpoints and to the platform's list."""
