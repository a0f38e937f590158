# SPDX-License-Identifier: MIT
"""Fleet membership through seeds, and the state that all boxes share."""
