"""Tests of the cluster of real processes that the bench and the fault tests use."""

from __future__ import annotations

import contextlib
import socket

import testtools

from dalemast.bench.cluster import reserve_ports
from dalemast.http.server import bind_address


class ReservedPortTests(testtools.TestCase):
    def test_a_reserved_port_can_only_be_bound_by_listeners(self) -> None:
        """A role must find its port free at its restart, whatever else binds a port meanwhile."""
        (reserved,) = reserve_ports(1)
        address = reserved.getsockname()
        with contextlib.closing(reserved):
            for _ in range(2):
                with socket.socket() as other:
                    self.assertRaises(OSError, other.bind, address)
                sockets, _ = bind_address(f"{address[0]}:{address[1]}")
                for one in sockets:
                    one.close()
