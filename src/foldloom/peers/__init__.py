# SPDX-License-Identifier: MIT
"""Messaging between boxes: transport, codec and message age."""
