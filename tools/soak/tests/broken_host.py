"""An entry host with one promise broken on purpose, to try the checks on.

Usage: broken_host.py NAME run --settings PATH
"""

import asyncio
import dataclasses
import pathlib
import sys

from returns.result import Success

from masticdale_adapter import PlatformHeaderCodec
from masticdale_common import Executed, Failure
from masticdale_entry.entry import EntryHost
from masticdale_entry.main import main
from masticdale_entry.watched_state import ActiveConfiguration
from masticdale_entry.watching import Watcher
from masticdale_gateway import Relay
from masticdale_gateway.exchanges import Sender, SendFailure
from masticdale_gateway.streaming import _Stream
from masticdale_ledger import LedgerClient
from masticdale_ledger.accounts import Account, BudgetExceeded
from masticdale_routing.fleet import Fleet


def call_everything_not_run():
    def failure(self, call, state, ran, reason, retry_after_s=None):
        del self, call, ran
        return SendFailure(state.replica.id, Executed.NO, reason, retry_after_s)

    Sender._failure = failure


def take_any_answer():
    PlatformHeaderCodec.answers_request = lambda self, head, request_id: True
    read = PlatformHeaderCodec.parse_response

    def parse_response(self, head):
        return dataclasses.replace(read(self, head), is_genuine=True)

    PlatformHeaderCodec.parse_response = parse_response


def repeat_events():
    _Stream._is_new = lambda self, event: True


def forget_budgets():
    async def admit(self, claim, deadline_at):
        return Success(None)

    LedgerClient.admit = admit


def spend_budgets_early():
    judge = Account.evaluate

    def early(self, claim):
        if self.spent_tokens:
            return BudgetExceeded(self.spent_tokens, 0, True)
        return judge(self, claim)

    Account.evaluate = early


def go_back_to_old_configurations():
    take = ActiveConfiguration._apply_value
    old = []

    def remember(self, value, revision):
        take(self, value, revision)
        old.append(self._current)
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, setattr, self, "_current", old[0])

    ActiveConfiguration._apply_value = remember


def take_changes_late():
    take = ActiveConfiguration._apply_value

    def later(self, value, revision):
        if self.current is None:
            take(self, value, revision)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(4.0, take, self, value, revision)

    ActiveConfiguration._apply_value = later


def ignore_drains():
    usable = Fleet.usable

    def all_replicas(self, service, excluded=()):
        del excluded
        ids = self._ids_by_service.get(service, ())
        return [self._state_by_id[i] for i in ids] or usable(self, service)

    Fleet.usable = all_replicas


def hang_at_stop():
    async def stop(self):
        await asyncio.sleep(60)

    EntryHost._stop = stop


def drop_callers_at_stop():
    async def stop(self):
        await self._reconciler.hand_over_all()
        await self.abort()

    EntryHost._stop = stop


def hold_answers():
    serve = Relay._run

    async def late(self, call, reply):
        outcome = await serve(self, call, reply)
        if not call.is_stream:
            await asyncio.sleep(5.0)
        return outcome

    Relay._run = late


def tell_no_time():
    Failure.effective_retry_after_ms = property(lambda self: None)


def stop_following_after_a_failure():
    step = Watcher._step

    async def run(self):
        while not self._after_outage:
            await step(self)

    Watcher.run = run


def start_only_once():
    settings = pathlib.Path(sys.argv[-1])
    if settings.with_suffix(".log").stat().st_size:
        sys.exit(1)


BREAK_BY_NAME = {
    each.__name__: each
    for each in (
        call_everything_not_run,
        take_any_answer,
        repeat_events,
        forget_budgets,
        spend_budgets_early,
        go_back_to_old_configurations,
        take_changes_late,
        ignore_drains,
        hang_at_stop,
        drop_callers_at_stop,
        hold_answers,
        tell_no_time,
        stop_following_after_a_failure,
        start_only_once,
    )
}


if __name__ == "__main__":
    BREAK_BY_NAME[sys.argv.pop(1)]()
    main()
