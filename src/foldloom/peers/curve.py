# SPDX-License-Identifier: MIT
"""CURVE between boxes: with keys in the settings, only boxes of the settings get in.

Owns the own secret key and the authenticator of one box. Relies on ZeroMQ's CURVE; without a key
file all of this does nothing.
"""

from __future__ import annotations

from pathlib import Path

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from foldloom.metrics import Metrics
from foldloom.settings import PeerSettings, Settings


class Curve:
    """The keys of one box and of its peers.

    Args:
        settings: This box's settings.
        metrics: Counts connections with keys that are not in the settings.
    """

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        self._secret_key_file = settings.secret_key_file
        self._box_by_key = {peer.public_key: peer.box for peer in settings.peers if peer.public_key}
        self._metrics = metrics
        self._secret_key = b""
        self._authenticator: AsyncioAuthenticator | None = None

    def start(self, context: zmq.Context[zmq.Socket[bytes]]) -> None:
        """Read the secret key and admit only the public keys in the settings."""
        if not self._secret_key_file:
            return
        self._secret_key = read_secret_key(self._secret_key_file)
        shadow = zmq.asyncio.Context.shadow(context.underlying)
        self._authenticator = AsyncioAuthenticator(shadow)
        self._authenticator.start()
        allowlist = _KeyAllowlist(set(self._box_by_key), self._metrics)
        self._authenticator.configure_curve_callback("*", allowlist)

    def stop(self) -> None:
        """Admit nobody any more."""
        if self._authenticator is not None:
            self._authenticator.stop()

    def secure_server(self, socket: zmq.Socket[bytes]) -> None:
        """Let *socket* accept only connections with CURVE, if there is a key."""
        if not self._secret_key:
            return
        socket.curve_secretkey = self._secret_key
        socket.curve_publickey = zmq.curve_public(self._secret_key)
        socket.curve_server = True

    def secure_client(self, socket: zmq.Socket[bytes], peer: PeerSettings) -> None:
        """Let *socket* connect to *peer* with CURVE, if there is a key."""
        if not self._secret_key:
            return
        socket.curve_secretkey = self._secret_key
        socket.curve_publickey = zmq.curve_public(self._secret_key)
        socket.curve_serverkey = peer.public_key.encode()

    def is_authenticated(self, sender: str, part: zmq.Frame) -> bool:
        """Return whether *part* came over a connection with the key of *sender*."""
        if not self._secret_key_file:
            return True
        return self._box_by_key.get(str(part.get("User-Id"))) == sender


class _KeyAllowlist:
    """The authenticator's callback.

    Args:
        keys: The public keys in the settings.
        metrics: Counts the others.
    """

    def __init__(self, keys: set[str], metrics: Metrics) -> None:
        self._keys = keys
        self._metrics = metrics

    def callback(self, _domain: str, key: bytes) -> bool:
        """Return whether a connection with the public key *key* is admitted."""
        is_known = key.decode("ascii") in self._keys
        if not is_known:
            self._metrics.count("messages.dropped.unknown-key")
        return is_known


def read_secret_key(path: str) -> bytes:
    """Return the Z85 secret key in the file at *path*."""
    return Path(path).read_text(encoding="ascii").strip().encode()
