# SPDX-License-Identifier: MIT
"""Calls to endpoints, and what is known of the endpoints that report."""
