"""Links: WebSocket connections that carry frames and detect unresponsive peers.

A link that has timed out is reset and not closed: after a close, bytes that were held up by a
network failure would still be delivered once the network recovers.

The WebSocket implementation is picows, which needs much less processor time per frame than
Tornado's; see docs/decisions/0010-worker-calls.md.
"""

from dalemast.fleet.links.base import BaseLink, Link, LinkReceiver, encode_message
from dalemast.fleet.links.dialer import Dialer
from dalemast.fleet.links.listener import LinkListener, LinkRoute
from dalemast.fleet.links.relayed import RelayedLink

__all__ = [
    "BaseLink",
    "Dialer",
    "Link",
    "LinkListener",
    "LinkReceiver",
    "LinkRoute",
    "RelayedLink",
    "encode_message",
]
