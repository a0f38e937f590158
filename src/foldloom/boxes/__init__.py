# SPDX-License-Identifier: MIT
"""The boxes of the path with seed discovery: an entry box, a controller."""
