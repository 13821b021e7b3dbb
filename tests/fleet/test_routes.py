"""Ways to entries by way of agents: what agents tell, what they relay, and what follows."""

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
from dalemast.fleet.entry.routes import DIAL_FIRST_S, PeerRoutes
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

OWN, PEER, OTHER = "life-own", "life-peer", "life-other"
FRAME = msgspec.json.encode([LinkHeartbeat()]).decode()


class FakeLink:
    """Notes what is sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.is_open = True
        self.received_at = clock.monotonic()

    def send(self, message: Any) -> None:
        self.sent.append(message)

    def take(self) -> list[Any]:
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
    """The agent's part."""

    def make_relay(self, *owners: str) -> EntryRelay:
        self.sessions: dict[str, OwnerSession] = {}
        for owner in owners:
            session = OwnerSession(link=FakeLink(), handler=mock.Mock())  # type: ignore[arg-type]
            session.member = make_member(owner)
            self.sessions[owner] = session
        limits = SupervisorLimits(owner_patience_s=0.45, lease_s=0.6, stop_s=0.05)
        return EntryRelay(sessions=self.sessions, supervisor=Supervisor(limits=limits))

    def take(self, owner: str) -> list[Any]:
        return self.sessions[owner].link.take()  # type: ignore[attr-defined]

    def test_an_entry_that_asks_is_told_now_and_at_each_change(self) -> None:
        relay = self.make_relay(OWN, PEER)
        relay.handle_request(self.sessions[OWN], ReachableEntriesRequest(number=3, suspects=()))
        self.assertEqual([ReachableEntries(number=3, entries=(PEER,))], self.take(OWN))
        relay.report_changes()
        self.take(OWN)
        relay.report_changes()
        self.assertEqual([], self.take(OWN))
        del self.sessions[PEER]
        relay.report_changes()
        self.assertEqual([ReachableEntries(number=3, entries=())], self.take(OWN))

    def test_a_suspect_is_asked_for_a_sign_of_life(self) -> None:
        relay = self.make_relay(OWN, PEER)
        relay.handle_request(
            self.sessions[OWN], ReachableEntriesRequest(number=1, suspects=(PEER, OTHER))
        )
        (asked,) = self.take(PEER)
        self.assertIsInstance(asked, ClockRequest)
        suspect, now = self.sessions[PEER], clock.monotonic()
        self.assertFalse(suspect.has_missed_probe(now=now))
        self.assertTrue(suspect.has_missed_probe(now=now + PROBE_TIMEOUT_S + 0.01))
        suspect.link.received_at = now + 0.1
        self.assertFalse(suspect.has_missed_probe(now=now + 10.0))

    def test_a_probe_does_not_count_while_the_agent_did_not_listen(self) -> None:
        relay = self.make_relay(OWN, PEER)
        suspect, now = self.sessions[PEER], clock.monotonic()
        suspect.link.reset_liveness = lambda late_s: None  # type: ignore[method-assign]
        relay.handle_request(
            self.sessions[OWN], ReachableEntriesRequest(number=1, suspects=(PEER,))
        )
        with mock.patch("dalemast.clock.monotonic", return_value=now + 1.0):
            suspect.reset_liveness(1.0)
        self.assertFalse(suspect.has_missed_probe(now=now + 1.0))

    def test_frames_and_ends_go_to_their_receiver(self) -> None:
        relay = self.make_relay(OWN, PEER)
        for message in (make_frame(), RouteEnded(route="r", sender=OWN, receiver=PEER)):
            relay.forward(self.sessions[OWN], message)
            self.assertEqual([message], self.take(PEER))
            self.assertEqual([], self.take(OWN))

    def test_a_frame_to_an_entry_out_of_reach_ends_its_route(self) -> None:
        relay = self.make_relay(OWN)
        relay.forward(self.sessions[OWN], make_frame())
        self.assertEqual([RouteEnded(route="r", sender=PEER, receiver=OWN)], self.take(OWN))
        relay.forward(self.sessions[OWN], RouteEnded(route="r", sender=OWN, receiver=PEER))
        self.assertEqual([], self.take(OWN))

    def test_nobody_speaks_in_anothers_name(self) -> None:
        relay = self.make_relay(OWN, PEER)
        relay.forward(self.sessions[OWN], make_frame(sender=OTHER))
        self.assertEqual([], self.take(PEER))


class FakeReceiver:
    """Opens sessions, and notes those that ended."""

    def __init__(self) -> None:
        self.opened: list[PeerSession] = []
        self.keeper = mock.Mock()

    def open_relayed(self, link: RelayedLink, *, is_dialled: bool) -> PeerSession:
        session = PeerSession(link=link, links=self.keeper, is_dialled=is_dialled, is_relayed=True)
        self.opened.append(session)
        link.send(LinkHeartbeat())
        link.flush()
        return session

    def note_routes_changed(self) -> None:
        pass


class PeerRoutesTests(AsyncTestCase):
    """The entry's part."""

    def make_routes(self) -> PeerRoutes:
        self.dialled: dict[str, PeerSession] = {}
        self.receiver = FakeReceiver()
        self.agent = mock.Mock(link=FakeLink())
        self.agent.name = "agent"
        routes = PeerRoutes(incarnation=OWN, dialled=self.dialled, receiver=self.receiver)
        routes.add_agent(self.agent)
        self.agent.link.take()
        return routes

    def hear(self, routes: PeerRoutes, number: int, *entries: str) -> list[Any]:
        """Let the agent tell whom it hears; return what it is sent then."""
        routes.take_heard(self.agent, ReachableEntries(number=number, entries=entries))
        return self.agent.link.take()

    def play(self, scenario: Any) -> None:
        async def run() -> None:
            scenario(self.make_routes())

        self.run_async(run())

    def test_a_lost_peer_that_an_agent_hears_is_reached_by_it(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            self.hear(routes, 0)
            self.assertFalse(routes.is_searching)
            routes.suspect(PEER)
            self.assertTrue(routes.is_searching)
            self.agent.link.take()
            (frame,) = self.hear(routes, 1, PEER)
            self.assertEqual((OWN, PEER, True), (frame.sender, frame.receiver, frame.is_first))
            self.assertTrue(routes.is_searching)
            (session,) = self.receiver.opened
            session.member = make_member(PEER)
            self.dialled["peer"] = session
            self.assertFalse(routes.is_searching)
            self.assertFalse(routes.is_gone(PEER))

        self.play(scenario)

    def test_a_lost_peer_is_gone_once_all_agents_have_answered_since(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            second = mock.Mock(link=FakeLink())
            routes.add_agent(second)
            for agent in (self.agent, second):
                routes.take_heard(agent, ReachableEntries(number=0, entries=()))
            routes.suspect(PEER)
            self.hear(routes, 1)
            self.assertTrue(routes.awaits(second))
            self.assertTrue(routes.is_searching)
            self.assertFalse(routes.is_gone(PEER))
            routes.remove_agent(second)
            self.assertFalse(routes.is_searching)
            self.assertTrue(routes.is_gone(PEER))

        self.play(scenario)

    def test_without_agents_nothing_is_known(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            self.hear(routes, 0)
            routes.suspect(PEER)
            routes.remove_agent(self.agent)
            self.assertTrue(routes.is_searching)
            self.assertFalse(routes.is_gone(PEER))
            self.assertFalse(routes.is_answered)

        self.play(scenario)

    def test_a_peer_that_was_never_lost_is_left_to_be_dialled_first(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            self.assertEqual([], self.hear(routes, 0, PEER))
            self.assertTrue(routes.is_searching)
            routes.tick(clock.monotonic() + DIAL_FIRST_S + 0.01)
            sent = self.agent.link.take()
            self.assertEqual(
                [ReachableEntriesRequest, Relayed], [type(message) for message in sent]
            )
            self.assertEqual((PEER,), sent[0].suspects)

        self.play(scenario)

    def test_a_route_is_taken_from_its_first_frame_on_and_no_later(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            late = make_frame(sender=PEER, receiver=OWN, is_first=False)
            routes.take_frame(self.agent, late)
            self.assertEqual([], self.receiver.opened)
            ended = RouteEnded(route="r", sender=OWN, receiver=PEER)
            self.assertEqual([ended], self.agent.link.take())
            routes.take_frame(self.agent, make_frame(sender=PEER, receiver=OWN))
            (session,) = self.receiver.opened
            self.assertFalse(session.is_dialled)
            self.receiver.keeper.take.assert_called_once_with(session, LinkHeartbeat())

        self.play(scenario)

    def test_a_frame_for_an_earlier_life_is_not_taken(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            routes.take_frame(self.agent, make_frame(sender=PEER, receiver=OTHER))
            self.assertEqual([], self.receiver.opened)
            self.assertIsInstance(self.agent.link.take()[0], RouteEnded)

        self.play(scenario)

    def test_a_frame_that_does_not_parse_ends_the_session(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            routes.take_frame(self.agent, make_frame(sender=PEER, receiver=OWN))
            bad = make_frame(sender=PEER, receiver=OWN, frame='[["?"]]', is_first=False)
            routes.take_frame(self.agent, bad)
            self.receiver.keeper.end_session.assert_called_once_with(self.receiver.opened[0])

        self.play(scenario)

    def test_a_link_ends_with_its_agent_and_with_its_other_end(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            for name, end in (
                ("a", lambda: routes.take_end(self.agent, RouteEnded("a", PEER, OWN))),
                ("b", lambda: routes.remove_agent(self.agent)),
            ):
                routes.take_frame(self.agent, make_frame(route=name, sender=PEER, receiver=OWN))
                session = self.receiver.opened[-1]
                end()
                self.assertFalse(session.link.is_open)
                self.receiver.keeper.end_session.assert_called_with(session)

        self.play(scenario)

    def test_a_link_that_is_given_up_tells_its_other_end(self) -> None:
        def scenario(routes: PeerRoutes) -> None:
            routes.take_frame(self.agent, make_frame(sender=PEER, receiver=OWN))
            self.agent.link.take()
            for _ in range(2):
                self.receiver.opened[0].link.reset()
            ended = RouteEnded(route="r", sender=OWN, receiver=PEER)
            self.assertEqual([ended], self.agent.link.take())

        self.play(scenario)

    def test_messages_of_one_turn_share_a_frame(self) -> None:
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
    def test_a_new_life_of_an_entry_ends_the_links_of_earlier_ones(self) -> None:
        """Their host may have lost power: other entries would be told that they are heard."""

        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                owners = fleet.agents[0]._owners
                (session,) = owners._sessions.values()
                assert session.member is not None
                later = make_member("life-later", session.member.name)
                owners._end_earlier_incarnations(make_member(OTHER, "another-entry"))
                self.assertTrue(session.link.is_open)
                owners._end_earlier_incarnations(later)
                self.assertFalse(session.link.is_open)
                self.assertNotIn(session.owner, owners._sessions)

        self.run_async(run())

    def test_a_configuration_is_neither_told_nor_given_on_a_relayed_link(self) -> None:
        async def run() -> None:
            async with LocalFleet(entries=1, workers=1) as fleet:
                peers = fleet.entries[0]._peers
                relayed, direct = (
                    mock.Mock(is_relayed=is_relayed, link=FakeLink())
                    for is_relayed in (True, False)
                )
                for session in (relayed, direct):
                    peers._tell_declarations(session)
                    version = fleet.entries[0]._configuration.current.version
                    peers._news.give(session, mock.Mock(version=version))
                kinds = [type(message).__name__ for message in relayed.link.sent]
                self.assertNotIn("VersionAnnouncement", kinds)
                self.assertNotIn("Raw", kinds)
                kinds = [type(message).__name__ for message in direct.link.sent]
                self.assertIn("VersionAnnouncement", kinds)
                self.assertIn("Raw", kinds)

        self.run_async(run())
