# SPDX-License-Identifier: MIT
"""Job and queue types."""
