"""Links: WebSockets that carry frames, with liveness of their own.

A peer behind a cut says nothing, and bytes that a cut holds up arrive once it heals unless their
sender resets the connection. So a silent link is reset, not closed.

The WebSockets are picows's: sending a frame and taking in its answer costs 41 us of processor time
in a loop over loopback, 237 us with Tornado's, and frames are most of what an entry does
(docs/decisions/0010-worker-calls.md).
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
