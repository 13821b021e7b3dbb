"""The gate: guards against a second start of a task, and outcomes kept until confirmed."""

from __future__ import annotations

import msgspec
import testtools

from dalemast.core.gate import Gate, GateEffects, TaskOutcome
from dalemast.core.gate.base import OutcomeKind
from dalemast.core.wire import (
    EntryFrame,
    EntryHello,
    JobStart,
    RefusalReason,
    TaskKey,
    TaskStart,
)

NOW = 10.0


def make_start(*indexes: int, job: int = 1, deadline_ms: int = 5000) -> JobStart:
    tasks = tuple(TaskStart(index=index, payload=msgspec.Raw(b"1")) for index in indexes)
    return JobStart(job=job, service="s", account="a", deadline_ms=deadline_ms, tasks=tasks)


class GateTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.gate = Gate(worker="w", incarnation="inc", slots=2, queue_limit=1)
        self.session = self.greet(connection=1)

    def greet(self, *, connection: int, owner: str = "o", seen: int = 0, session: str = "") -> str:
        hello = EntryHello(
            owner=owner, entry="e", connection=connection, session=session, seen=seen
        )
        opened = self.gate.open_link(now=NOW, hello=hello)
        assert opened is not None
        answer, self.kept = opened
        return answer.session

    def send(self, number: int, *starts: JobStart, **fields: object) -> GateEffects:
        values = {"session": self.session, "number": number, "starts": starts, **fields}
        self.gate.receive(now=NOW, owner="o", frame=EntryFrame(**values))  # type: ignore[arg-type]
        return self.gate.collect(now=NOW)

    def end(self, index: int, kind: OutcomeKind = OutcomeKind.ANSWERED) -> GateEffects:
        outcome = TaskOutcome(owner="o", job=1, index=index, kind=kind)
        self.gate.complete(now=NOW, outcome=outcome)
        return self.gate.collect(now=NOW)


class OnceOnlyTests(GateTestCase):
    def test_repeated_start_is_ignored(self) -> None:
        self.assertEqual(len(self.send(1, make_start(0)).runs), 1)
        self.assertEqual(self.send(2, make_start(0)).runs, ())
        self.end(0)
        self.assertEqual(self.send(3, make_start(0)).runs, ())
        self.assertEqual(self.gate.duplicate_starts, 2)

    def test_replayed_frame_starts_nothing_even_after_confirmation(self) -> None:
        self.send(1, make_start(0))
        (_, frame) = self.end(0).frames[0]
        self.send(2, seen=frame.number)
        self.assertEqual(self.send(1, make_start(0)).runs, ())

    def test_frame_of_another_session_starts_nothing(self) -> None:
        self.assertEqual(self.send(1, make_start(0), session="inc.99").runs, ())

    def test_frame_of_an_unknown_owner_starts_nothing(self) -> None:
        frame = EntryFrame(session=self.session, number=1, starts=(make_start(0),))
        self.gate.receive(now=NOW, owner="stranger", frame=frame)
        self.assertEqual(self.gate.collect(now=NOW).runs, ())

    def test_revoke_before_its_start_prevents_the_start(self) -> None:
        effects = self.send(1, revokes=(TaskKey(job=1, index=0),))
        self.assertEqual(effects.frames[0][1].refusals[0].reason, RefusalReason.REVOKED)
        self.assertEqual(self.send(2, make_start(0)).runs, ())

    def test_revoke_of_a_running_task_changes_nothing(self) -> None:
        self.send(1, make_start(0))
        self.assertEqual(self.send(2, revokes=(TaskKey(job=1, index=0),)).frames, ())
        self.assertEqual(len(self.end(0).frames[0][1].answers), 1)

    def test_refused_task_can_be_placed_here_again_once_the_refusal_is_confirmed(self) -> None:
        effects = self.send(1, make_start(0, 1, 2, 3))
        refusal = effects.frames[0][1]
        self.assertEqual([r.index for r in refusal.refusals], [3])
        self.end(0)
        self.assertEqual(self.send(2, make_start(3)).runs, ())
        effects = self.send(3, make_start(3), seen=refusal.number)
        self.end(1)
        self.end(2)
        self.assertEqual(self.gate.started, 4)

    def test_owner_whose_state_was_deleted_gets_a_new_session(self) -> None:
        self.send(1, make_start(0))
        self.end(0)
        self.gate.close_link(now=NOW, owner="o", connection=1)
        self.gate.tick(now=NOW + 10_000)
        self.assertNotEqual(self.greet(connection=2), self.session)


class OutcomeTests(GateTestCase):
    def test_unconfirmed_answers_are_sent_again_on_a_new_link(self) -> None:
        self.send(1, make_start(0))
        self.end(0)
        self.greet(connection=2, session=self.session)
        self.assertEqual(len(self.kept[0].answers), 1)

    def test_confirmed_answers_are_dropped(self) -> None:
        self.send(1, make_start(0))
        (_, frame) = self.end(0).frames[0]
        self.greet(connection=2, session=self.session, seen=frame.number)
        self.assertEqual(self.kept, ())
        self.assertTrue(self.gate.is_idle(NOW))

    def test_older_link_than_the_one_in_use_is_refused(self) -> None:
        self.greet(connection=5)
        hello = EntryHello(owner="o", entry="e", connection=4)
        self.assertIsNone(self.gate.open_link(now=NOW, hello=hello))

    def test_number_of_links_is_limited(self) -> None:
        gate = Gate(worker="w", incarnation="inc", slots=2, queue_limit=1, max_links=2)
        opened = [
            gate.open_link(now=NOW, hello=EntryHello(owner=f"o{n}", entry="e", connection=1))
            for n in range(3)
        ]
        self.assertEqual([link is not None for link in opened], [True, True, False])

    def test_answers_of_a_job_are_held_until_the_last_while_slots_are_free(self) -> None:
        self.gate = Gate(worker="w", incarnation="inc", slots=8, queue_limit=1)
        self.session = self.greet(connection=1)
        self.send(1, make_start(0, 1))
        self.assertEqual(self.end(0).frames, ())
        self.assertEqual(len(self.end(1).frames[0][1].answers), 2)

    def test_answers_are_sent_at_once_while_slots_are_scarce(self) -> None:
        self.send(1, make_start(0, 1))
        self.assertEqual(len(self.end(0).frames[0][1].answers), 1)


class DrainAndCancelTests(GateTestCase):
    def test_draining_gate_refuses_queued_tasks_and_finishes_running_ones(self) -> None:
        self.send(1, make_start(0, 1, 2))
        self.gate.start_draining(now=NOW)
        frame = self.gate.collect(now=NOW).frames[0][1]
        self.assertEqual([r.index for r in frame.refusals], [2])
        self.assertTrue(frame.load.draining)
        self.assertEqual(self.gate.running, 2)
        self.assertEqual(self.send(2, make_start(3)).runs, ())

    def test_cancel_drops_queued_tasks_only(self) -> None:
        self.send(1, make_start(0, 1, 2))
        frame = self.send(2, cancels=(1,)).frames[0][1]
        self.assertEqual([r.reason for r in frame.refusals], [RefusalReason.CANCELLED])
        self.assertEqual(self.gate.running, 2)

    def test_start_whose_deadline_is_past_is_refused(self) -> None:
        frame = self.send(1, make_start(0, deadline_ms=0)).frames[0][1]
        self.assertEqual(frame.refusals[0].reason, RefusalReason.DEADLINE)

    def test_unreachable_endpoint_is_a_refusal_not_a_failure(self) -> None:
        self.send(1, make_start(0))
        frame = self.end(0, OutcomeKind.UNREACHABLE).frames[0][1]
        self.assertEqual(frame.answers, ())
        self.assertEqual(frame.refusals[0].reason, RefusalReason.UNREACHABLE)


class SlotOfferTests(testtools.TestCase):
    """A free slot is offered to one waiting owner, and reserved for a short time.

    Offered to all of them, it would cause a refusal for every owner but one.
    """

    def setUp(self) -> None:
        super().setUp()
        self.gate = Gate(worker="w", incarnation="inc", slots=1, queue_limit=0)
        self.sessions = {}
        for owner in ("a", "b", "c"):
            hello = EntryHello(owner=owner, entry="e", connection=1)
            opened = self.gate.open_link(now=NOW, hello=hello)
            assert opened is not None
            self.sessions[owner] = opened[0].session

    def send(self, owner: str, number: int, index: int, now: float = NOW) -> list[str]:
        frame = EntryFrame(session=self.sessions[owner], number=number, starts=(make_start(index),))
        self.gate.receive(now=now, owner=owner, frame=frame)
        return [task.owner for task in self.gate.collect(now=now).runs]

    def free(self, now: float) -> list[str]:
        outcome = TaskOutcome(owner="a", job=1, index=0, kind=OutcomeKind.ANSWERED)
        self.gate.complete(now=now, outcome=outcome)
        frames = self.gate.collect(now=now).frames
        return [owner for owner, frame in frames if not frame.answers]

    def test_slot_is_offered_to_the_longest_waiting_owner_only(self) -> None:
        self.send("a", 1, 0)
        self.send("b", 1, 0, now=NOW + 0.1)
        self.send("c", 1, 0, now=NOW + 0.2)
        self.assertEqual(self.free(NOW + 1), ["b"])
        self.assertEqual(self.send("c", 2, 1, now=NOW + 1), [])
        self.assertEqual(self.send("b", 2, 1, now=NOW + 1), ["b"])

    def test_unused_reservation_expires(self) -> None:
        self.send("a", 1, 0)
        self.send("b", 1, 0, now=NOW + 0.1)
        self.free(NOW + 1)
        self.assertEqual(self.send("c", 1, 1, now=NOW + 2), ["c"])
