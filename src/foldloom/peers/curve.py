# SPDX-License-Identifier: MIT
"""ZeroMQ CURVE authentication and encryption between boxes.

Only public keys listed in the settings are admitted. Without a secret key file, CURVE is disabled.
"""

from __future__ import annotations

from pathlib import Path

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from foldloom.metrics import Metrics
from foldloom.settings import PeerSettings, Settings


class Curve:
    """The CURVE keys of this box and of its peers.

    Args:
        settings: Settings of this box.
        metrics: Counts connections with unknown keys.
    """

    def __init__(self, settings: Settings, metrics: Metrics) -> None:
        self._secret_key_file = settings.secret_key_file
        self._box_by_key = {peer.public_key: peer.box for peer in settings.peers if peer.public_key}
        self._metrics = metrics
        self._secret_key = b""
        self._authenticator: AsyncioAuthenticator | None = None

    def start(self, context: zmq.Context[zmq.Socket[bytes]]) -> None:
        """Read the secret key and start the authenticator, if CURVE is enabled."""
        if not self._secret_key_file:
            return
        self._secret_key = read_secret_key(self._secret_key_file)
        shadow = zmq.asyncio.Context.shadow(context.underlying)
        self._authenticator = AsyncioAuthenticator(shadow)
        self._authenticator.start()
        allowlist = _KeyAllowlist(set(self._box_by_key), self._metrics)
        self._authenticator.configure_curve_callback("*", allowlist)

    def stop(self) -> None:
        """Stop the authenticator."""
        if self._authenticator is not None:
            self._authenticator.stop()

    def secure_server(self, socket: zmq.Socket[bytes]) -> None:
        """Require CURVE for connections to *socket*, if CURVE is enabled."""
        if not self._secret_key:
            return
        socket.curve_secretkey = self._secret_key
        socket.curve_publickey = zmq.curve_public(self._secret_key)
        socket.curve_server = True

    def secure_client(self, socket: zmq.Socket[bytes], peer: PeerSettings) -> None:
        """Use CURVE for connections from *socket* to *peer*, if CURVE is enabled."""
        if not self._secret_key:
            return
        socket.curve_secretkey = self._secret_key
        socket.curve_publickey = zmq.curve_public(self._secret_key)
        socket.curve_serverkey = peer.public_key.encode()

    def is_authenticated(self, sender: str, part: zmq.Frame) -> bool:
        """Return whether *part* arrived over a connection with the key of *sender*."""
        if not self._secret_key_file:
            return True
        return self._box_by_key.get(str(part.get("User-Id"))) == sender


class _KeyAllowlist:
    """The authenticator's callback.

    Args:
        keys: Public keys to admit.
        metrics: Counts connections with other keys.
    """

    def __init__(self, keys: set[str], metrics: Metrics) -> None:
        self._keys = keys
        self._metrics = metrics

    def callback(self, _domain: str, key: bytes) -> bool:
        """Return whether to admit a connection with the public key *key*."""
        is_known = key.decode("ascii") in self._keys
        if not is_known:
            self._metrics.count("messages.dropped.unknown-key")
        return is_known


def read_secret_key(path: str) -> bytes:
    """Return the Z85-encoded secret key in the file at *path*."""
    return Path(path).read_text(encoding="ascii").strip().encode()
