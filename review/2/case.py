"""RECOVER: an entry of another writer, which cannot be read, and a final fault."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s  # noqa: E402

SERVICE = "pass-desk"
RATE_PER_S = 10.0
RECOVERY_S = 12.0  # `recoveryS` of the sites.
# Bytes that cannot be read: an opened JSON list, 4,000 levels deep (`rowBytes` is
# 65,536).
FOREIGN_VALUE = b"[" * 4000


async def send_traffic(deployment, results, stop):
    """Send pass bookings to all routers in turn, each with a new id."""
    record = deployment.record
    tasks = set()
    for number in itertools.count():
        if stop.is_set():
            break
        router = deployment.routers[number % len(deployment.routers)]
        task = asyncio.create_task(send_one(record, router, number, results))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*tasks)


async def send_one(record, router, number, results):
    """Send one request and record what comes back."""
    attempt = f"b{number:06d}"
    sent_at = record.now()
    record.write("sent", attempt=attempt, router=router.name)
    headers = {
        "Host": s.HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": 3000,
        "Authorization": f"Bearer {s.KEY}",
    }
    answer = await s.send(router.address, "POST", "/puxa403/2f", headers, b"{}", 3.0)
    is_served = answer.status == 200 and answer.is_complete
    record.write("answered", attempt=attempt, status=answer.status)
    results.append((sent_at, is_served))


def count(results, since, until):
    """Return how many requests were sent in a span, and how many were served."""
    chosen = [is_served for sent_at, is_served in results if since <= sent_at < until]
    return len(chosen), sum(chosen)


async def main():
    """Run the case and return its exit code."""
    async with s.Deployment(__file__) as deployment:
        record = deployment.record
        routes = [s.make_route("/puxa403/", "non_idempotent", SERVICE)]
        services = [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 96}]
        deployment.store.put("op", "config", s.make_configuration(7, routes, services))
        for number in range(3):
            runner = deployment.add_runner(f"i-7f3a91c{number}", SERVICE, s.serve_plain)
            await runner.start()
        await deployment.start_routers()
        await asyncio.sleep(2.0)
        results, stop = [], asyncio.Event()
        traffic = asyncio.create_task(send_traffic(deployment, results, stop))
        began_at = record.now()
        await asyncio.sleep(6.0)
        is_foreign = s.is_troubled() and os.environ.get("FOREIGN", "1") != "0"
        if is_foreign:
            deployment.store.put("servers", "zz-other-writer", FOREIGN_VALUE)
            record.write("entry-of-another-writer", bytes=len(FOREIGN_VALUE))
        await asyncio.sleep(4.0)
        fault_at = record.now()
        if s.is_troubled():
            # The final fault: all processes are killed, and are started again.
            for router in deployment.routers:
                router.kill()
            await asyncio.sleep(1.5)
            for router in deployment.routers:
                router.start()
        back_at = record.now()
        await asyncio.sleep(RECOVERY_S + 8.0)
        until = record.now()
        stop.set()
        await traffic
        n_before, served_before = count(results, began_at, fault_at)
        n_after, served_after = count(results, back_at + RECOVERY_S, until)
        text = (
            f"before the fault {served_before} of {n_before} served; later than"
            f" {RECOVERY_S:g} s after the machines are back {served_after} of {n_after}"
        )
        record.write("result", text=text.replace(" ", "_"))
        print(text)
        if served_before * 4 < n_before or n_after < 20:
            return 2
        return 1 if served_after * 4 < n_after else 0


s.run_case(main)
