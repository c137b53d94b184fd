"""Drop one guard of the program at a time; the tests must notice each.

A mutant is a named patch of one source file, applied to a scratch copy of the project.
Run ``python -m tools.mutants``; it ends 0 only if every mutant is caught.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs

__all__ = ["MUTANTS", "Mutant", "catches"]

ROOT = Path(__file__).parent.parent
COPIED = ("bronzesail", "tests", "tools", "benchmarks", "pyproject.toml", "docs")
TIMEOUT_S = 240.0


@attrs.frozen
class Mutant:
    """One guard that is dropped.

    Attributes
    ----------
    name : str
        What is dropped.
    path : str
        Source file, from the project's folder.
    guarded, dropped : str
        Text that stands once in the file, and what replaces it.
    tests : str
        Tests that must fail.
    """

    name: str
    path: str
    guarded: str
    dropped: str
    tests: str


ROUTER_BUDGET_TESTS = (
    "tests/test_router/test_budget.py tests/test_router/test_budget_machine.py"
)

RETRY_TESTS = (
    "tests/test_router/test_retry_fleet.py tests/test_router/test_retry_limit.py"
)
ENDLESS_TESTS = "tests/test_router/test_endless_answers.py"

WITHDRAWAL_TESTS = "tests/test_router/test_withdrawals.py"
PART_TESTS = "tests/test_router/test_crashing_parts.py"
HELLO_TESTS = "tests/test_router/test_large_fleet.py"

LIFE_TESTS = "tests/test_router/test_server_lives.py"
SPAN_TESTS = "tests/test_router/test_connection_spans.py"
LOOKUP_TESTS = "tests/test_router/test_stream_lookup.py"
START_TESTS = "tests/test_router/test_server_starts.py"
VERSION_TESTS = "tests/test_router/test_stream_versions.py"
CUT_TESTS = "tests/test_router/test_cut_from_servers.py"
BRITTLE_TESTS = "tests/test_router/test_brittle_servers.py"

SILENT_STORE_TESTS = "tests/test_router/test_silent_store.py"
WATCH_TESTS = "tests/test_router/test_watches.py"
LIMIT_TESTS = "tests/test_router/test_server_limits.py"
COLD_TESTS = "tests/test_router/test_cold_servers.py"
PACE_TESTS = "tests/test_router/test_server_pace.py"
RESTORE_TESTS = "tests/test_router/test_store_restore.py"

MUTANTS = (
    Mutant(
        "a stream is continued at its own version",
        "bronzesail/router/directory.py",
        "and version in (None, server.version)",
        "",
        VERSION_TESTS,
    ),
    Mutant(
        "a stream that nobody knows is refused",
        "bronzesail/router/exchange.py",
        "        if beginning is None:\n            raise",
        "        if beginning is None:\n            return\n            raise",
        VERSION_TESTS,
    ),
    Mutant(
        "others are told of a stream whose version is not known yet",
        "bronzesail/router/stream_lookup.py",
        "        self._tell([StreamBeginning(request_id, service, UNDETERMINED)])\n",
        "",
        LOOKUP_TESTS,
    ),
    Mutant(
        "no stream goes on at another life than the entry's",
        "bronzesail/router/connecting.py",
        "        if found == version:\n            return True\n",
        "        return True\n",
        LIFE_TESTS,
    ),
    Mutant(
        "a life has the version of its own entry only",
        "bronzesail/router/directory.py",
        "if server is not None and server.born_ms == born_ms:",
        "if server is not None:",
        LIFE_TESTS,
    ),
    Mutant(
        "data that was read late shows nothing of a new connection",
        "bronzesail/router/connection_spans.py",
        "if connection.span is None or connection.was_paused:",
        "if connection.span is None:",
        SPAN_TESTS,
    ),
    Mutant(
        "a version takes the place of an undetermined one",
        "bronzesail/router/stream_versions.py",
        "if known is not None and known[0].version != UNDETERMINED:",
        "if known is not None:",
        LIFE_TESTS,
    ),
    Mutant(
        "nothing is inferred while neither store nor routers can tell",
        "bronzesail/router/stream_lookup.py",
        "may_infer and self._are_told_asked(request_id, replies)",
        "may_infer",
        LOOKUP_TESTS,
    ),
    Mutant(
        "the row of a stream goes before what could be inferred",
        "bronzesail/router/stream_lookup.py",
        "        if row is not None:\n            return row",
        "        if row is not None and noted:\n            return row",
        LOOKUP_TESTS,
    ),
    Mutant(
        "a process that was taken for another one is told apart",
        "bronzesail/router/connection_spans.py",
        "if span.born_ms not in (None, born_ms):",
        "if False:",
        SPAN_TESTS,
    ),
    Mutant(
        "no answer to another request is taken for a report",
        "bronzesail/router/server_lives.py",
        "        if head.request_id:\n            return False",
        "        if False:\n            return False",
        START_TESTS,
    ),
    Mutant(
        "a question that hangs is a failure of the server",
        "bronzesail/router/connecting.py",
        '            services.note_failure(server, "no response in time")\n',
        "",
        START_TESTS,
    ),
    Mutant(
        "the first era that a process learns is no restore",
        "bronzesail/router/application.py",
        "        if self.era.n_restores:\n            self",
        "        if True:\n            self",
        "tests/test_router/test_ignored_entries.py",
    ),
    Mutant(
        "beginnings of streams outlast all routers",
        "bronzesail/router/stream_lookup.py",
        "        self._rows.write(beginnings)\n",
        "",
        VERSION_TESTS,
    ),
    Mutant(
        "events of another router are charged there only",
        "bronzesail/router/request_charge.py",
        "        events -= self.forwarded_events\n",
        "",
        CUT_TESTS,
    ),
    Mutant(
        "the reservation of a request that is forwarded is transferred",
        "bronzesail/router/exchange.py",
        "                await self._charge.transfer(target, self._compute_charge())\n",
        "                pass\n",
        CUT_TESTS,
    ),
    Mutant(
        "the prompt of a forwarded stream is charged once",
        "bronzesail/router/request_charge.py",
        "0 if self._is_prompt_charged else self._head.prompt_tokens",
        "self._head.prompt_tokens",
        CUT_TESTS,
    ),
    Mutant(
        "a reservation that arrives late is released with the request's own",
        "bronzesail/router/request_charge.py",
        "            self._reserved_tokens += tokens\n",
        "            self._reserved_tokens = tokens\n",
        CUT_TESTS,
    ),
    Mutant(
        "a request whose reservation was transferred reserves again",
        "bronzesail/router/exchange.py",
        "        await self._reserve()  # Again, if the tokens were transferred.\n",
        "",
        CUT_TESTS,
    ),
    Mutant(
        "a transferred reservation stays spent",
        "bronzesail/router/budget.py",
        "        holding.transferred += tokens\n        self._lower_demand",
        "        self._lower_demand",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "a reservation that no request claims is released",
        "bronzesail/router/budget.py",
        "            self.settle(account, tokens, 0)\n        return late",
        "        return late",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "a cut is not taken for crashes",
        "bronzesail/router/services.py",
        "        if await self._is_link_lost(server, crashed_at):",
        "        if False:",
        CUT_TESTS,
    ),
    Mutant(
        "routers share the slots of brittle servers",
        "bronzesail/router/brittle_servers.py",
        "        window.size = min(window.size, share)\n",
        "",
        BRITTLE_TESTS,
    ),
    Mutant(
        "a rejection of a brittle server is told to all",
        "bronzesail/router/brittle_servers.py",
        "            window.size = min(known.size, n_present)\n",
        "            window.size = known.size\n",
        BRITTLE_TESTS,
    ),
    Mutant(
        "a claim of another router counts as the own one",
        "bronzesail/request/_claims.py",
        "    return Claim(ClaimOutcome.OTHER, found.router, row.version, found.nonce)",
        "    return Claim(ClaimOutcome.OWN, found.router)",
        "tests/test_request",
    ),
    Mutant(
        "an issued key is used again",
        "bronzesail/request/_gate.py",
        "if self._issuer.claim(order.account, issued, "
        "self._context.clock.monotonic()):",
        "if True:",
        "tests/test_request",
    ),
    Mutant(
        "a refusal after a dispatch says not run",
        "bronzesail/request/_life.py",
        "is_not_run = refusal.is_not_run and self.is_not_run",
        "is_not_run = refusal.is_not_run",
        "tests/test_request",
    ),
    Mutant(
        "a broken exchange counts as not sent",
        "bronzesail/http/_client.py",
        'raise ExchangeBrokenError("no response in time") from error',
        'raise NotSentError("no response in time") from error',
        "tests/test_request tests/test_storage tests/test_http",
    ),
    Mutant(
        "a cut answer ends like a whole one",
        "bronzesail/request/_delivery.py",
        "        # The body is not finished, so that a caller detects a truncated "
        "answer.\n        await self._responder.write(text.encode())",
        "        await self._responder.write(text.encode())\n"
        "        await self._responder.finish()",
        "tests/test_request",
    ),
    Mutant(
        "a lower version comes into force",
        "bronzesail/configuration/_version_log.py",
        "        if not entries or entries[0].version <= self.version:",
        "        if not entries:",
        "tests/test_configuration",
    ),
    Mutant(
        "a leaving backend server is chosen",
        "bronzesail/routing/_pool.py",
        "return [s for s in self._servers.values() if not s.entry.is_leaving]",
        "return list(self._servers.values())",
        "tests/test_routing",
    ),
    Mutant(
        "the order of a lost holder is not waited out",
        "bronzesail/orders/_core.py",
        "        if self._must_wait_for_in_flight_order(now):",
        "        if False and self._must_wait_for_in_flight_order(now):",
        "tests/test_orders",
    ),
    Mutant(
        "the tokens of a reservation are reserved again",
        "bronzesail/budget/_grant.py",
        "        self._committed_tokens += record.committed_tokens\n"
        "        return record\n",
        "        return record\n",
        "tests/test_budget",
    ),
    Mutant(
        "a transfer between routers counts twice",
        "bronzesail/budget/_grant.py",
        "        if transfer in self.received_ids:\n            return None\n",
        "",
        "tests/test_budget",
    ),
    Mutant(
        "a journal peer is replaced before its records were copied",
        "bronzesail/budget/_holder.py",
        "            if not record.acked_by & set(staying):",
        "            if False and not record.acked_by & set(staying):",
        "tests/test_budget",
    ),
    Mutant(
        "a peer without the secret is let in",
        "bronzesail/fleet/_handshake.py",
        "        if not hmac.compare_digest(expected, proof):",
        "        if False:",
        "tests/test_fleet",
    ),
    Mutant(
        "any bearer secret is right",
        "bronzesail/util/keys.py",
        "    return hmac.compare_digest(hash_key(secret, salt), expected)",
        "    return True",
        "tests/test_request tests/test_configuration tests/test_application",
    ),
    Mutant(
        "a dead process's tokens are reclaimed without a proof of the lease",
        "bronzesail/router/budget_rows.py",
        "held - limit - math.ceil(overrun_per_s * past_lease_s)",
        "held - limit",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "a lease is taken to end although a renewal may have been carried out",
        "bronzesail/router/budget.py",
        "            newest = max(newest, attempt.stamped_at)\n",
        "            pass\n",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "tokens on their way back can still be spent",
        "bronzesail/router/budget.py",
        "            if change < 0:\n                self.get_holding(account)"
        ".granted += change\n                self.get_holding(account)"
        ".granted_by_store += change\n        self._unresolved",
        "            pass\n        self._unresolved",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "tokens passed on are kept",
        "bronzesail/router/budget.py",
        "        holding.transferred += given\n",
        "",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "spending does not heed the limit of the row",
        "bronzesail/router/budget.py",
        "holding.free if bound is None else min(holding.free, bound - holding.spent)",
        "holding.free",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "a lower limit or pace binds only once it is written",
        "bronzesail/router/budget.py",
        "        attempts = [*self._unresolved]\n",
        "        attempts: list[Attempt] = []\n",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "the known row does not bind while another is in doubt",
        "bronzesail/router/budget.py",
        "        if self._acknowledged is not None:\n",
        "        if self._acknowledged is not None and not attempts:\n",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "the pace counts from the stamp",
        "bronzesail/router/budget.py",
        "max(0.0, now - attempt.stamped_at - LEASE_S)",
        "max(0.0, now - attempt.stamped_at)",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "tokens that the row shows count as received since",
        "bronzesail/router/budget.py",
        "            received = holding.received - attempt.received.get(account, 0)\n",
        "            received = holding.received\n",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "tokens that a banker gives are kept",
        "bronzesail/router/budget.py",
        "        self.get_holding(account).transferred += given\n",
        "",
        ROUTER_BUDGET_TESTS + " tests/test_router/test_reservation_queue.py",
    ),
    Mutant(
        "a renewal does not check the version of the own row",
        "bronzesail/router/budget_keeper.py",
        "        checks = [RowCheck(own, attempt.base_version)]\n        writes = ",
        "        checks: list[RowCheck] = []\n        writes = ",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "a refill does not check the version of the account's row",
        "bronzesail/router/budget_keeper.py",
        "            checks.append(RowCheck(key, version))\n",
        "",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "a dead process's row is adopted twice",
        "bronzesail/router/budget_keeper.py",
        "        checks = [RowCheck(key, dead.version), RowCheck(own, "
        "attempt.base_version)]",
        "        checks = [RowCheck(own, attempt.base_version)]",
        ROUTER_BUDGET_TESTS,
    ),
    Mutant(
        "repeats are compared with the requests of one window",
        "bronzesail/router/retry_budget.py",
        "bisect_left(requests, start - self._window_s)",
        "0",
        RETRY_TESTS,
    ),
    Mutant(
        "only the last repeat is held to the limit",
        "bronzesail/router/retry_budget.py",
        "starts = [*self._retries, now]",
        "starts = [now]",
        RETRY_TESTS,
    ),
    Mutant(
        "a new process spends its slack at once",
        "bronzesail/router/services.py",
        "slack_from = self.started_at + window_s",
        "slack_from = self.started_at",
        RETRY_TESTS,
    ),
    Mutant(
        "windows of repeats stand still while a host is suspended",
        "bronzesail/router/services.py",
        "                read_clock, window_s",
        "                self.loop.time, window_s",
        RETRY_TESTS,
    ),
    Mutant(
        "a silent router loses its share of the slack",
        "bronzesail/router/neighbourhood.py",
        "return len(self._last_seen_at.keys() | {self.host})",
        "return len(self._list_live()) + 1",
        f"{RETRY_TESTS} tests/test_router/test_neighbourhood.py",
    ),
    Mutant(
        "the head of an answer has no end",
        "bronzesail/router/client.py",
        "self._framing_bytes > MAX_FRAMING_BYTES",
        "False",
        ENDLESS_TESTS,
    ),
    Mutant(
        "a call reads a body without end",
        "bronzesail/router/client.py",
        "self._body_bytes > MAX_CALL_BYTES",
        "False",
        ENDLESS_TESTS,
    ),
    Mutant(
        "a call waits for drops without end",
        "bronzesail/router/client.py",
        "min(self._last_received_at + MAX_READ_GAP_S, last_deadline)",
        "self._last_received_at + MAX_READ_GAP_S",
        ENDLESS_TESTS,
    ),
    Mutant(
        "an event has no end",
        "bronzesail/router/relay.py",
        "len(self._pending) > MAX_EVENT_BYTES",
        "False",
        ENDLESS_TESTS,
    ),
    Mutant(
        "answers in progress share no limit",
        "bronzesail/router/answer_memory.py",
        "self.held_bytes > self.limit_bytes",
        "False",
        ENDLESS_TESTS,
    ),
    Mutant(
        "a caller's line has no end",
        "bronzesail/router/caller.py",
        "self._unparsed_bytes > self._handler",
        "0 > self._handler",
        ENDLESS_TESTS,
    ),
    Mutant(
        "a server that says it leaves stays in choice",
        "bronzesail/router/services.py",
        "if head.is_leaving and self.directory.note_leaving(server):",
        "if False:",
        WITHDRAWAL_TESTS,
    ),
    Mutant(
        "the other routers do not learn that a server leaves",
        "bronzesail/router/application.py",
        "if self.directory.merge_leaving(peer.hello.leaving):",
        "if False:",
        WITHDRAWAL_TESTS,
    ),
    Mutant(
        "a server leaves for longer than one life",
        "bronzesail/router/withdrawals.py",
        "return life is not None and life.born_ms >= server.born_ms",
        "return life is not None",
        WITHDRAWAL_TESTS,
    ),
    Mutant(
        "a server at the address of another speaks for it",
        "bronzesail/router/services.py",
        "if head.status == 421:",
        "if False:",
        WITHDRAWAL_TESTS,
    ),
    Mutant(
        "the pause that a server asks for is ignored",
        "bronzesail/router/services.py",
        "if head.pause_s:",
        "if False:",
        WITHDRAWAL_TESTS,
    ),
    Mutant(
        "a queued request waits through a pause",
        "bronzesail/router/admission_queue.py",
        "if resume_at > queued.deadline:",
        "if False:",
        WITHDRAWAL_TESTS,
    ),
    Mutant(
        "a server gets its full share when its pause ends",
        "bronzesail/router/withdrawals.py",
        "return max(MIN_RAMP_SHARE, since_end_s / RAMP_S)",
        "return 1.0",
        WITHDRAWAL_TESTS,
    ),
    Mutant(
        "a request waits while all servers pause",
        "bronzesail/router/exchange.py",
        "is_pausing = resume_at is not None and resume_at > wait_until",
        "is_pausing = False",
        WITHDRAWAL_TESTS,
    ),
    Mutant(
        "a hello carries all crash counts",
        "bronzesail/router/hello.py",
        "crashes=select_crashes(application.poison.export(MAX_HELLO_CRASHES)),",
        "crashes=application.poison.export(),",
        HELLO_TESTS,
    ),
    Mutant(
        "crash counts beyond those of a hello are not read",
        "bronzesail/router/peer_sync.py",
        "if hello.crash_digest in (0, self.crash_digest):",
        "if True:",
        HELLO_TESTS,
    ),
    Mutant(
        "crashes at one moment count one by one",
        "bronzesail/router/crashing_parts.py",
        "            if at - counted_at >= CRASH_INTERVAL_S:",
        "            if True:",
        PART_TESTS,
    ),
    Mutant(
        "a part that was just answered is suspected",
        "bronzesail/router/crashing_parts.py",
        "            if at - self._find_begun_at(part) >= TRUST_S",
        "            if True",
        PART_TESTS,
    ),
    Mutant(
        "an answer clears a part at one router only",
        "bronzesail/router/crashing_parts.py",
        "                self._clear(part, now - age_s)",
        "                pass",
        PART_TESTS,
    ),
    Mutant(
        "a crash counts against all parts of its request",
        "bronzesail/router/crashing_parts.py",
        "others -= {key for key in others if self._is_among(key, crashes)}",
        "                pass",
        PART_TESTS,
    ),
    Mutant(
        "frequent parts of sound requests are as suspect as new ones",
        "bronzesail/router/crashing_parts.py",
        "        return self._is_new(part), self._count(keys), depth",
        "        return False, self._count(keys), depth",
        PART_TESTS,
    ),
    Mutant(
        "a crash is noted although other connections to the server stay open",
        "bronzesail/router/client.py",
        "connection.opened_at <= opened_before and not connection.is_closing",
        "False",
        PART_TESTS,
    ),
    Mutant(
        "a changed list of hosts is not read",
        "bronzesail/router/peer_sync.py",
        "if self._neighbourhood.confirm_zone_hosts(zone, digest):",
        "if True:",
        HELLO_TESTS,
    ),
    Mutant(
        "rows of all eras stand in one partition",
        "bronzesail/router/budget_rows.py",
        'return f"{PART}.{era}" if era else PART',
        "return PART",
        RESTORE_TESTS,
    ),
    Mutant(
        "processes that have not reported count as known",
        "bronzesail/router/carryover.py",
        "    _add(most, allowances, factor=n_unreported)\n",
        "",
        RESTORE_TESTS,
    ),
    Mutant(
        "a report does not replace what the copy has",
        "bronzesail/router/carryover.py",
        "_add(total, copy.by_process.get(key, {}), factor=-1)",
        "pass",
        RESTORE_TESTS,
    ),
    Mutant(
        "a watch goes on from a version of an earlier era",
        "bronzesail/router/store.py",
        "if since.era != self.era.current:",
        "if False:",
        RESTORE_TESTS,
    ),
    Mutant(
        "an earlier era replaces a later one",
        "bronzesail/router/store_era.py",
        "if era < self.current:",
        "if False:",
        RESTORE_TESTS,
    ),
    Mutant(
        "a removed server comes back with the copy",
        "bronzesail/router/directory.py",
        "if not self._is_restored_removal(server):",
        "if True:",
        RESTORE_TESTS,
    ),
    Mutant(
        "a draining server is ready again by an older entry",
        "bronzesail/router/directory.py",
        "if server.is_draining and server.born_ms:",
        "if False:",
        RESTORE_TESTS,
    ),
    Mutant(
        "a router learns of a restore from the store alone",
        "bronzesail/router/application.py",
        "if peer.hello.store_era > self.era.current:",
        "if False:",
        RESTORE_TESTS,
    ),
    Mutant(
        "a router that starts late ignores earlier eras",
        "bronzesail/router/budget.py",
        "        self.era = era\n        self.carryover = None\n",
        "        self.era = era\n        self.carryover = Carryover()\n",
        RESTORE_TESTS,
    ),
    Mutant(
        "a successor does not report what the process before it had",
        "bronzesail/router/budget_keeper.py",
        "            self.book.note_ended(dead.key, granted)\n",
        "            pass\n",
        RESTORE_TESTS,
    ),
    Mutant(
        "a successor inherits any time",
        "bronzesail/router/budget.py",
        "first_row_at = self.now() - first_row_age_s",
        "first_row_at = self.now() - 1e9",
        RESTORE_TESTS,
    ),
    Mutant(
        "a response that has begun is not given up",
        "bronzesail/router/store.py",
        "        if not call.has_begun:",
        "        if True:",
        SILENT_STORE_TESTS,
    ),
    Mutant(
        "a call is lost only if a later one is answered",
        "bronzesail/router/store.py",
        "        while self._last_answered_sent_at < overdue_at:",
        "        while False:",
        SILENT_STORE_TESTS,
    ),
    Mutant(
        "changes of servers are applied in the order of the store",
        "bronzesail/router/watches.py",
        "        for row in rows:\n            if row.is_removed:",
        "        for row in sorted(rows, key=lambda row: not row.is_removed):\n"
        "            if row.is_removed:",
        WATCH_TESTS,
    ),
    Mutant(
        "a router without a share of a limit sends nothing",
        "bronzesail/router/server_limits.py",
        " if self._host in sharers else 0.0",
        "",
        LIMIT_TESTS,
    ),
    Mutant(
        "a new sharer of a limit has saved up nothing",
        "bronzesail/router/pacing/_permits.py",
        "self.permits, self.updated_at = min(0.0, self.permits), now",
        "self.permits, self.updated_at = 5.0, now",
        LIMIT_TESTS,
    ),
    Mutant(
        "a rejection does not end a limit",
        "bronzesail/router/services.py",
        "(head.is_not_run or not head.is_sealed)",
        "False",
        LIMIT_TESTS,
    ),
    Mutant(
        "two halves of a fleet divide the limit of a cold server",
        "bronzesail/router/pacing/_cold_servers.py",
        "N_PARTS = 2",
        "N_PARTS = 1",
        COLD_TESTS,
    ),
    Mutant(
        "a router that starts sends nothing to cold servers",
        "bronzesail/router/pacing/_cold_servers.py",
        "SETTLE_S = 2.0",
        "SETTLE_S = 0.0",
        COLD_TESTS,
    ),
    Mutant(
        "the limit of a cold server takes permits",
        "bronzesail/router/pacing/_rate_limits.py",
        "            limit.take_permit(server)",
        "            limit.find_share(server)",
        COLD_TESTS,
    ),
    Mutant(
        "routers share the window of a server",
        "bronzesail/router/pacing/_server_pace.py",
        "divmod(int(window.size), window.n_routers)",
        "divmod(int(window.size), 1)",
        PACE_TESTS,
    ),
    Mutant(
        "an answer to a request before a decrease does not count",
        "bronzesail/router/pacing/_server_pace.py",
        "if sent_at >= window.reduced_at:",
        "if True:",
        PACE_TESTS,
    ),
    Mutant(
        "a paced server gets no more than its room",
        "bronzesail/router/admission_queue.py",
        "return room is None or self._placement.count_own(server.id) < room",
        "return True",
        PACE_TESTS,
    ),
)


def catches(mutant: Mutant, folder: Path) -> bool:
    """Tell whether the tests fail on a mutant.

    Parameters
    ----------
    mutant : Mutant
        The mutant.
    folder : pathlib.Path
        Scratch copy of the project; it is the unchanged program afterwards.

    Returns
    -------
    bool
        Whether a test failed.

    Raises
    ------
    ValueError
        If the guarded text does not stand once in the file.
    """
    path = folder / mutant.path
    text = path.read_text()
    if text.count(mutant.guarded) != 1:
        raise ValueError(f"{mutant.name}: the guard does not stand once")
    path.write_text(text.replace(mutant.guarded, mutant.dropped))
    try:
        return not passes_tests(mutant.tests, folder)
    finally:
        path.write_text(text)


def passes_tests(tests: str, folder: Path) -> bool:
    """Tell whether tests pass in a scratch copy; one that hangs does not."""
    command = [sys.executable, "-m", "pytest", "-x", "-q"]
    command += ["--numprocesses", "4", "--dist", "loadfile", *tests.split()]
    try:
        result = subprocess.run(
            command, cwd=folder, capture_output=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return False
    return result.returncode == 0


def main() -> int:
    """Run every mutant; return the number of those that no test caught."""
    n_missed = 0
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for part in COPIED:
            source = ROOT / part
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, folder / part)
        for mutant in MUTANTS:
            is_caught = catches(mutant, folder)
            n_missed += not is_caught
            print(f"{'caught' if is_caught else 'MISSED'}: {mutant.name}", flush=True)
    return n_missed


if __name__ == "__main__":
    sys.exit(main())
