# SPDX-License-Identifier: MIT
"""Which run goes to which worker, and when: decisions without sockets."""
