"""RECOVER: a final fault while the store comes back from an older copy.

Not one of the five cases: see REPORT.md. It exits as their scripts do.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

import standins as s  # noqa: E402

SERVICE = "desk-model"
RATE_PER_S = 12.0
EVENT_GAP_S = 0.03
RECOVERY_S = 12.0  # `recoveryS` of the sites.
COPY_AGE_S = 3.0  # "Some seconds old".
AWAY_S = 1.0  # "Away for a moment".


def draw_events(generator):
    """Return a number of events as the sheet has it: 76 in the mean, 191 at most."""
    return max(1, min(191, int(generator.lognormvariate(4.24, 0.44))))


async def serve_stream(runner, headers, body, common, writer):
    """Write the events of one stream."""
    lines = ["HTTP/1.1 200 OK"]
    lines += [f"{name}: {value}" for name, value in common]
    lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    first = int(headers.get("last-event-id", "0")) + 1
    for number in range(first, int(body) + 1):
        event = f"id: {number}\ndata: five tokens\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
    writer.write(b"0\r\n\r\n")


async def send_traffic(deployment, results, stop):
    """Send requests to all routers in turn, each with a new id."""
    tasks = set()
    generator = random.Random(38)
    for number in itertools.count():
        if stop.is_set():
            break
        index = number % len(deployment.routers)
        n_events = draw_events(generator)
        task = asyncio.create_task(
            send_one(deployment, index, number, n_events, results)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*tasks)


async def send_one(deployment, index, number, n_events, results):
    """Send one request and record what comes back."""
    record, router = deployment.record, deployment.routers[index]
    attempt = f"c{number:06d}"
    sent_at = record.now()
    record.write("sent", attempt=attempt, router=router.name, events=n_events)
    headers = {
        "Host": s.HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Model": "m",
        "X-Token-Counts": "300,1000",
        "X-Prefix-Hash": f"{number % 40:08x}:200,{number:08x}:100",
        "X-Deadline-Ms": 15000,
        "Authorization": f"Bearer {s.KEY}",
    }
    body = str(n_events).encode()
    answer = await s.send(router.address, "POST", "/lohu930/2f", headers, body, 15.0)
    is_served = answer.status == 200 and answer.is_complete
    record.write(
        "answered",
        attempt=attempt,
        router=router.name,
        status=answer.status,
        complete=answer.is_complete,
        code=answer.headers.get("x-result-code", "-"),
    )
    results.append((sent_at, index, is_served))


def count(results, since, until):
    """Return how many requests were sent in a span, and how many were served."""
    chosen = [
        is_served for sent_at, _, is_served in results if since <= sent_at < until
    ]
    return len(chosen), sum(chosen)


async def kill(routers):
    """Kill routers, and start them again."""
    for router in routers:
        router.kill()
    await asyncio.sleep(1.5)
    for router in routers:
        router.start()


async def main():
    """Run the case and return its exit code."""
    async with s.Deployment(__file__, record="drill.txt") as deployment:
        record, store = deployment.record, deployment.store
        route = s.make_route(
            "/lohu930/",
            "streaming",
            SERVICE,
            timeoutMs=15000,
            goalMs=1000,
            maxAttempts=1,
            sticky=True,
            itlTargetMs=600,
        )
        engine = {
            "slots": 64,
            "kvCapacity": 545938,
            "stride": 5,
            "models": [{"name": "m"}],
        }
        service = {
            "name": SERVICE,
            "healthPath": "/healthz",
            "maxConns": 360,
            "engine": engine,
        }
        configuration = s.make_configuration(7, [route], [service])
        store.put("op", "config", configuration)
        for number in range(3):
            runner = deployment.add_runner(
                f"i-7f3a91c{number}", SERVICE, serve_stream, slots=64
            )
            await runner.start()
        await deployment.start_routers()
        await asyncio.sleep(9.0)
        results, stop = [], asyncio.Event()
        traffic = asyncio.create_task(send_traffic(deployment, results, stop))
        began_at = record.now()
        await asyncio.sleep(9.0)
        copy = store.copy()
        await asyncio.sleep(COPY_AGE_S)
        fault_at = record.now()
        # KILL=0 and DRILL=0 leave out one of the two; KILL=1 kills one router only.
        n_killed = int(os.environ.get("KILL", "3"))
        tasks = []
        if s.is_troubled() and n_killed:
            tasks.append(kill(deployment.routers[:n_killed]))
        if s.is_troubled() and os.environ.get("DRILL") != "0":
            record.write("store-away")
            tasks.append(store.restore(copy, AWAY_S))
        await asyncio.gather(*tasks)
        # The operator writes again what it has written; so do the runners.
        store.put("op", "config", configuration)
        record.write("store-and-machines-back", era=store.era)
        back_at = record.now()
        await asyncio.sleep(RECOVERY_S + 20.0)
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
