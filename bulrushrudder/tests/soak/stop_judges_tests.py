import unittest

from bulrushrudder.tests.builders import planned_stops
from bulrushrudder.tests.soak import record

CALL = planned_stops.call
SEEN = planned_stops.Seen


class CutTests(unittest.TestCase):
    def check(self, rules, *args, **changes):
        self.assertEqual(planned_stops.judged(*args, **changes), rules)

    def test_call_that_was_passed_on_and_cut_off_is_lost(self):
        self.check(['LOST'])

    def test_reset_is_a_cut_too(self):
        self.check(['LOST'], sent=CALL(ending=record.Ending.RESET))

    def test_answer_that_is_cut_off_within_is_lost(self):
        self.check(['LOST'], sent=CALL(status=200))

    def test_call_that_was_answered_is_not_lost(self):
        answered = CALL(status=200, whole=True, ending=record.Ending.ANSWERED)
        self.check([], sent=answered)

    def test_cut_far_from_planned_work_breaks_our_own_promise(self):
        self.check(['CUT'], stops=())

    def test_cut_by_another_stop_is_no_cut_of_this_one(self):
        self.check(['CUT'], stops=(planned_stops.stop(process='edge-2/1'),))

    def test_silence_of_servers_excuses_only_cuts_far_from_planned_work(self):
        seen = SEEN(CALL())
        seen.time_s = 100.9
        seen.add_hold_up('soak', 2.1)
        self.check([], seen, stops=())
        self.check(['LOST'], seen)

    def test_shorter_pause_of_servers_excuses_no_cut(self):
        seen = SEEN(CALL())
        seen.time_s = 100.9
        seen.add_hold_up('soak', 1.9)
        self.check(['CUT'], seen, stops=())

    def test_cut_after_a_hangup_is_lost(self):
        hangups = ((planned_stops.PROCESS, 99.0),)
        self.check(['LOST'], stops=(), hangups=hangups)

    def test_call_whose_body_was_not_sent_is_not_lost(self):
        self.check([], sent=CALL(last_byte_s=None, due_s=None))

    def test_call_not_passed_on_is_lost_if_it_is_cut_off_late(self):
        late = CALL(ended_s=100.71)
        self.check(['LOST'], SEEN(late, passed_on=False))

    def test_call_not_passed_on_is_not_lost_if_it_crosses_the_close(self):
        crossing = CALL(ended_s=100.69)
        self.check([], SEEN(crossing, passed_on=False))

    def test_call_behind_an_answer_is_due_from_that_answer_on(self):
        behind = CALL(due_s=100.9)
        self.check([], SEEN(behind, passed_on=False))

    def test_unplanned_disruption_excuses_a_cut(self):
        self.check([], unplanned_s=(97.6,))

    def test_unplanned_disruption_long_before_excuses_nothing(self):
        self.check(['LOST'], unplanned_s=(97.4,))

    def test_timeout_excuses_a_cut(self):
        over = CALL(sent_s=94.9, last_byte_s=94.9, due_s=94.9)
        self.check([], sent=over)

    def test_server_that_broke_off_excuses_a_cut(self):
        seen = SEEN(CALL(), worked=(100.5, 101.0))
        seen.broken_off.add(planned_stops.ATTEMPT)
        self.check([], seen)

    def test_work_until_the_last_sixth_excuses_a_cut(self):
        long = CALL(sent_s=102.9, last_byte_s=102.9, ended_s=107.0)
        seen = SEEN(long, worked=(102.9, 106.7))
        self.check([], seen)

    def test_work_that_ends_earlier_excuses_nothing(self):
        long = CALL(sent_s=102.9, last_byte_s=102.9, ended_s=107.0)
        seen = SEEN(long, worked=(102.9, 106.6))
        self.check(['LOST'], seen)

    def test_long_work_on_a_call_of_later_excuses_nothing(self):
        late = CALL(sent_s=103.1, last_byte_s=103.1, ended_s=107.0)
        seen = SEEN(late, worked=(103.1, 107.0))
        self.check(['LOST'], seen)


class PromiseTests(unittest.TestCase):
    def check(self, rules, **changes):
        quiet = CALL(status=200, whole=True, ending=record.Ending.ANSWERED)
        changes.setdefault('sent', quiet)
        self.assertEqual(planned_stops.judged(**changes), rules)

    def test_stop_that_ends_in_time_is_sound(self):
        self.check([])

    def test_stop_that_needs_a_kill_breaks_the_promise(self):
        self.check(['STOP', 'STOP'], stops=(planned_stops.killed(),))

    def test_stop_of_the_core_that_needs_a_kill_breaks_the_promise(self):
        self.check(['STOP'], core_stops=(planned_stops.killed(),))

    def test_failing_exit_code_is_a_fault(self):
        self.check(['FAULT'], stops=(planned_stops.stop(exit_code=1),))

    def test_process_ended_by_sigterm_before_it_was_ready_is_sound(self):
        early = planned_stops.stop(exit_code=-15, was_ready=False)
        self.check([], stops=(early,))

    def test_ready_process_ended_by_sigterm_is_a_fault(self):
        self.check(['FAULT'], stops=(planned_stops.stop(exit_code=-15),))

    def test_stop_with_quick_calls_may_take_four_seconds(self):
        self.check([], stops=(planned_stops.stop(ended_s=103.9),))
        self.check(['STOP'], stops=(planned_stops.stop(ended_s=104.1),))

    def test_stop_may_wait_for_a_call_sent_before_it_closes(self):
        long = CALL(
            sent_s=102.4,
            ended_s=105.0,
            status=200,
            whole=True,
            ending=record.Ending.ANSWERED,
        )
        stop = planned_stops.stop(ended_s=106.4)
        self.check([], sent=long, stops=(stop,))

    def test_readiness_after_a_second_of_the_stop_breaks_the_promise(self):
        self.check([], probes=(planned_stops.probe(100.9, 200),))
        self.check(['DRAIN'], probes=(planned_stops.probe(101.1, 200),))
        self.check([], probes=(planned_stops.probe(101.1, 503),))

    def test_refusal_half_a_second_after_the_last_byte_is_late(self):
        refused = {
            'status': 503,
            'whole': True,
            'ending': record.Ending.ANSWERED,
        }
        self.check([], sent=CALL(ended_s=100.9, **refused))
        self.check(['LATE'], sent=CALL(ended_s=101.1, **refused))

    def test_time_in_which_a_process_could_not_run_is_no_delay(self):
        refused = CALL(
            ended_s=101.1,
            status=503,
            whole=True,
            ending=record.Ending.ANSWERED,
        )
        for process in (planned_stops.PROCESS, 'soak'):
            seen = SEEN(refused)
            seen.time_s = 100.8
            seen.add_hold_up(process, 0.2)
            self.assertEqual(planned_stops.judged(seen), [])

    def test_hold_ups_at_the_same_time_count_once(self):
        refused = CALL(
            ended_s=101.3,
            status=503,
            whole=True,
            ending=record.Ending.ANSWERED,
        )
        seen = SEEN(refused)
        seen.time_s = 100.8
        seen.add_hold_up(planned_stops.PROCESS, 0.2)
        seen.add_hold_up('soak', 0.2)
        self.assertEqual(planned_stops.judged(seen), ['LATE'])

    def test_hold_up_of_another_process_excuses_no_delay(self):
        refused = CALL(
            ended_s=101.1,
            status=503,
            whole=True,
            ending=record.Ending.ANSWERED,
        )
        seen = SEEN(refused)
        seen.time_s = 100.8
        seen.add_hold_up('edge-2/1', 0.2)
        self.assertEqual(planned_stops.judged(seen), ['LATE'])

    def test_refusals_by_a_process_that_stops_are_not_owed_an_answer(self):
        seen = SEEN(CALL(status=503, whole=True))
        seen.sent.append(CALL(status=200, whole=True))
        seen.sent.append(CALL(status=503, whole=True, ended_s=99.9))
        self.assertEqual(planned_stops.served(seen), 0.5)

    def test_call_without_an_answer_at_its_timeout_breaks_the_promise(self):
        silent = CALL(ended_s=107.1, ending=record.Ending.LEFT)
        self.check(['SILENT'], sent=silent)
