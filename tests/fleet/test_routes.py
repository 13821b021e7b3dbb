"""Tests of routes to entries by way of agents: reports, relayed frames and their effects."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec

from dalemast import clock
from dalemast.core.supervision import Supervisor, SupervisorLimits
from dalemast.fleet.agent.owner_sessions import PROBE_TIMEOUT_S, OwnerSession
from dalemast.fleet.agent.relay import EntryRelay
from dalemast.fleet.base import Member
from dalemast.fleet.entry.peer_sessions import PeerSession
from dalemast.fleet.entry.routes import DIRECT_DIAL_S, PeerRoutes
from dalemast.fleet.frames import (
    ClockRequest,
    LinkHeartbeat,
    PeerMessage,
    ReachableEntries,
    ReachableEntriesRequest,
    Relayed,
    RouteEnded,
    decode_frame,
)
from dalemast.fleet.links import RelayedLink
from tests.base import AsyncTestCase
from tests.fleet.base import LocalFleet

OWN, PEER, OTHER = "own-1", "peer-1", "other-1"
FRAME = msgspec.json.encode([LinkHeartbeat()]).decode()


class FakeLink:
    """Records sent messages."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.is_open = True
        self.received_at = clock.monotonic()

    def send(self, message: Any) -> None:
        self.sent.append(message)

    def pop_sent(self) -> list[Any]:
        sent, self.sent = self.sent, []
        return sent


def make_member(incarnation: str, name: str = "") -> Member:
    return Member(
        name=name or incarnation,
        incarnation=incarnation,
        address="127.0.0.1:1",
        data_centre="austin",
    )


def make_frame(**fields: Any) -> Relayed:
    return Relayed(
        **{
            "route": "r",
            "sender": OWN,
            "receiver": PEER,
            "frame": FRAME,
            "is_first": True,
            **fields,
        }
    )


class RelayTests(AsyncTestCase):
    """Tests of the relay in an agent."""

    def make_relay(self, *owners: str) -> EntryRelay:
        self.sessions: dict[str, OwnerSession] = {}
        for owner in owners:
            session = OwnerSession(link=FakeLink(), handler=mock.Mock())  # type: ignore[arg-type]
            session.member = make_member(owner)
            self.sessions[owner] = session
        limits = SupervisorLimits(owner_timeout_s=0.45, lease_s=0.6, stop_s=0.05)
        return EntryRelay(sessions=self.sessions, supervisor=Supervisor(limits=limits))

    def pop_sent(self, owner: str) -> list[Any]:
        return self.sessions[owner].link.pop_sent()  # type: ignore[attr-defined]

    def test_a_requesting_entry_receives_a_report_now_and_at_each_change(self) -> None:
        relay = self.make_relay(OWN, PEER)
        relay.handle_request(self.sessions[OWN], ReachableEntriesRequest(number=3, suspects=()))
        self.assertEqual([ReachableEntries(number=3, entries=(PEER,))], self.pop_sent(OWN))
        relay.report_changes()
        self.pop_sent(OWN)
        relay.report_changes()
        self.assertEqual([], self.pop_sent(OWN))
        del self.sessions[PEER]
        relay.report_changes()
        self.assertEqual([ReachableEntries(number=3, entries=())], self.pop_sent(OWN))

    def test_a_suspect_is_probed(self) -> None:
        relay = self.make_relay(OWN, PEER)
        relay.handle_request(
            self.sessions[OWN], ReachableEntriesRequest(number=1, suspects=(PEER, OTHER))
        )
        (sent_probe,) = self.pop_sent(PEER)
        self.assertIsInstance(sent_probe, ClockRequest)
        suspect, now = self.sessions[PEER], clock.monotonic()
        self.assertFalse(suspect.has_missed_probe(now=now))
        self.assertTrue(suspect.has_missed_probe(now=now + PROBE_TIMEOUT_S + 0.01))
        suspect.link.received_at = now + 0.1
        self.assertFalse(suspect.has_missed_probe(now=now + 10.0))

    def test_a_probe_is_not_missed_during_a_pause_of_the_agent(self) -> None:
        relay = self.make_relay(OWN, PEER)
        suspect, now = self.sessions[PEER], clock.monotonic()
        suspect.link.reset_liveness = lambda late_s: None  # type: ignore[method-assign]
        relay.handle_request(
            self.sessions[OWN], ReachableEntriesRequest(number=1, suspects=(PEER,))
        )
        with mock.patch("dalemast.clock.monotonic", return_value=now + 1.0):
            suspect.reset_liveness(1.0)
        self.assertFalse(suspect.has_missed_probe(now=now + 1.0))

    def test_frames_and_ends_reach_their_receiver(self) -> None:
        relay = self.make_relay(OWN, PEER)
        for message in (make_frame(), RouteEnded(route="r", sender=OWN, receiver=PEER)):
            relay.forward(self.sessions[OWN], message)
            self.assertEqual([message], self.pop_sent(PEER))
            self.assertEqual([], self.pop_sent(OWN))

    def test_a_frame_to_an_unreachable_entry_ends_its_route(self) -> None:
        relay = self.make_relay(OWN)
        relay.forward(self.sessions[OWN], make_frame())
        self.assertEqual([RouteEnded(route="r", sender=PEER, receiver=OWN)], self.pop_sent(OWN))
        relay.forward(self.sessions[OWN], RouteEnded(route="r", sender=OWN, receiver=PEER))
        self.assertEqual([], self.pop_sent(OWN))

    def test_a_frame_with_a_foreign_sender_is_dropped(self) -> None:
        relay = self.make_relay(OWN, PEER)
        relay.forward(self.sessions[OWN], make_frame(sender=OTHER))
        self.assertEqual([], self.pop_sent(PEER))


class FakeReceiver:
    """Opens sessions on relayed links, and records them."""

    def __init__(self) -> None:
        self.opened: list[PeerSession] = []
        self.handler = mock.Mock()

    def open_relayed(self, link: RelayedLink, *, is_dialled: bool) -> PeerSession:
        session = PeerSession(link=link, links=self.handler, is_dialled=is_dialled, is_relayed=True)
        self.opened.append(session)
        link.send(LinkHeartbeat())
        link.flush()
        return session

    def handle_routes_changed(self) -> None:
        pass


class PeerRoutesTests(AsyncTestCase):
    """Tests of the routes in an entry."""

    def make_routes(self) -> PeerRoutes:
        self.dialled: dict[str, PeerSession] = {}
        self.receiver = FakeReceiver()
        self.agent = mock.Mock(link=FakeLink())
        self.agent.name = "agent"
        routes = PeerRoutes(incarnation=OWN, dialled=self.dialled, receiver=self.receiver)
        routes.add_agent(self.agent)
        self.agent.link.pop_sent()
        return routes

    def report_entries(self, routes: PeerRoutes, number: int, *entries: str) -> list[Any]:
        """Report the entries that the agent reaches; return the messages sent to it."""
        routes.handle_reachable_entries(
            self.agent, ReachableEntries(number=number, entries=entries)
        )
        return self.agent.link.pop_sent()

    def play(self, scenario: Any) -> None:
        async def run() -> None:
            scenario(self.make_routes())

        self.run_async(run())

    def test_a_lost_peer_is_reached_by_way_of_an_agent(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            self.report_entries(routes, 0)
            self.assertFalse(routes.may_have_unlinked_peer)
            routes.suspect(PEER)
            self.assertTrue(routes.may_have_unlinked_peer)
            self.agent.link.pop_sent()
            (frame,) = self.report_entries(routes, 1, PEER)
            self.assertEqual((OWN, PEER, True), (frame.sender, frame.receiver, frame.is_first))
            self.assertTrue(routes.may_have_unlinked_peer)
            (session,) = self.receiver.opened
            session.member = make_member(PEER)
            self.dialled["peer"] = session
            self.assertFalse(routes.may_have_unlinked_peer)
            self.assertFalse(routes.is_gone(PEER))

        self.play(scenario)

    def test_a_lost_peer_is_gone_once_all_agents_have_responded_since(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            second = mock.Mock(link=FakeLink())
            routes.add_agent(second)
            for agent in (self.agent, second):
                routes.handle_reachable_entries(agent, ReachableEntries(number=0, entries=()))
            routes.suspect(PEER)
            self.report_entries(routes, 1)
            self.assertTrue(routes.is_awaiting(second))
            self.assertTrue(routes.may_have_unlinked_peer)
            self.assertFalse(routes.is_gone(PEER))
            routes.remove_agent(second)
            self.assertFalse(routes.may_have_unlinked_peer)
            self.assertTrue(routes.is_gone(PEER))

        self.play(scenario)

    def test_without_agents_nothing_is_known(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            self.report_entries(routes, 0)
            routes.suspect(PEER)
            routes.remove_agent(self.agent)
            self.assertTrue(routes.may_have_unlinked_peer)
            self.assertFalse(routes.is_gone(PEER))
            self.assertFalse(routes.has_agent_response)

        self.play(scenario)

    def test_a_new_peer_is_dialled_directly_first(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            self.assertEqual([], self.report_entries(routes, 0, PEER))
            self.assertTrue(routes.may_have_unlinked_peer)
            routes.tick(clock.monotonic() + DIRECT_DIAL_S + 0.01)
            sent = self.agent.link.pop_sent()
            self.assertEqual(
                [ReachableEntriesRequest, Relayed], [type(message) for message in sent]
            )
            self.assertEqual((PEER,), sent[0].suspects)

        self.play(scenario)

    def test_a_route_is_accepted_only_with_its_first_frame(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            late = make_frame(sender=PEER, receiver=OWN, is_first=False)
            routes.handle_frame(self.agent, late)
            self.assertEqual([], self.receiver.opened)
            ended = RouteEnded(route="r", sender=OWN, receiver=PEER)
            self.assertEqual([ended], self.agent.link.pop_sent())
            routes.handle_frame(self.agent, make_frame(sender=PEER, receiver=OWN))
            (session,) = self.receiver.opened
            self.assertFalse(session.is_dialled)
            self.receiver.handler.handle_message.assert_called_once_with(session, LinkHeartbeat())

        self.play(scenario)

    def test_a_frame_for_an_earlier_incarnation_is_refused(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            routes.handle_frame(self.agent, make_frame(sender=PEER, receiver=OTHER))
            self.assertEqual([], self.receiver.opened)
            self.assertIsInstance(self.agent.link.pop_sent()[0], RouteEnded)

        self.play(scenario)

    def test_a_frame_that_does_not_parse_ends_the_session(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            routes.handle_frame(self.agent, make_frame(sender=PEER, receiver=OWN))
            bad = make_frame(sender=PEER, receiver=OWN, frame='[["?"]]', is_first=False)
            routes.handle_frame(self.agent, bad)
            self.receiver.handler.end_session.assert_called_once_with(self.receiver.opened[0])

        self.play(scenario)

    def test_a_link_ends_with_its_agent_and_with_its_other_end(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            for name, end in (
                ("a", lambda: routes.handle_route_ended(self.agent, RouteEnded("a", PEER, OWN))),
                ("b", lambda: routes.remove_agent(self.agent)),
            ):
                routes.handle_frame(self.agent, make_frame(route=name, sender=PEER, receiver=OWN))
                session = self.receiver.opened[-1]
                end()
                self.assertFalse(session.link.is_open)
                self.receiver.handler.end_session.assert_called_with(session)

        self.play(scenario)

    def test_a_link_that_is_closed_notifies_its_other_end(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            routes.handle_frame(self.agent, make_frame(sender=PEER, receiver=OWN))
            self.agent.link.pop_sent()
            for _ in range(2):
                self.receiver.opened[0].link.reset()
            ended = RouteEnded(route="r", sender=OWN, receiver=PEER)
            self.assertEqual([ended], self.agent.link.pop_sent())

        self.play(scenario)

    def test_messages_of_one_iteration_share_a_frame(self) -> None:
        async def run() -> None:
            frames: list[str] = []
            link = RelayedLink(
                message_type=PeerMessage, forward=frames.append, end_route=lambda: None
            )
            link.send(LinkHeartbeat())
            link.send(LinkHeartbeat(is_receiving=False))
            link.flush()
            (frame,) = frames
            self.assertEqual(
                [LinkHeartbeat(), LinkHeartbeat(is_receiving=False)],
                decode_frame(frame, PeerMessage),
            )

        self.run_async(run())


class WholePathTests(AsyncTestCase):
    def test_a_new_incarnation_of_an_entry_ends_the_links_of_earlier_ones(self) -> None:
        """Guards against reporting a dead incarnation as reachable after its host lost power."""

        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                owners = fleet.agents[0]._owners
                (session,) = owners._sessions.values()
                assert session.member is not None
                later = make_member("later-1", session.member.name)
                owners._end_earlier_incarnations(make_member(OTHER, "another-entry"))
                self.assertTrue(session.link.is_open)
                owners._end_earlier_incarnations(later)
                self.assertFalse(session.link.is_open)
                self.assertNotIn(session.owner, owners._sessions)

        self.run_async(run())

    def test_a_configuration_is_neither_announced_nor_sent_on_a_relayed_link(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                peers = fleet.entries[0]._peers
                relayed, direct = (
                    mock.Mock(is_relayed=is_relayed, link=FakeLink())
                    for is_relayed in (True, False)
                )
                for session in (relayed, direct):
                    peers._send_declarations(session)
                    version = fleet.entries[0]._configuration.current.version
                    peers._configuration_exchange.send_configuration(
                        session, mock.Mock(version=version)
                    )
                kinds = [type(message).__name__ for message in relayed.link.sent]
                self.assertNotIn("VersionAnnouncement", kinds)
                self.assertNotIn("Raw", kinds)
                kinds = [type(message).__name__ for message in direct.link.sent]
                self.assertIn("VersionAnnouncement", kinds)
                self.assertIn("Raw", kinds)

        self.run_async(run())
