# SPDX-License-Identifier: MIT
"""Which run goes to which endpoint, and when: decisions without sockets."""
